"""One of many brokers meets each server seldom: what it saw there must hold until it is met again."""

from heathwell import benchlink, policy

from .conftest import AIM, Driver, make_settings, of

SERVERS = 60


def seldom() -> Driver:
    """A broker of 60 servers that sees about four answers an aim, after a while of calm."""
    d = Driver(make_settings(shards=SERVERS, replica_groups=SERVERS, slow_start_duration_us=60_000_000))
    for n in range(40):
        for send in of(d.query(1, [n % SERVERS], after=AIM // 4), policy.Send):
            d.end(send)
    return d


def sent_to(d: Driver, shard: int, after: int) -> str:
    """The server that a part of this shard goes to, which answers at once."""
    (send,) = of(d.query(1, [shard], after=after), policy.Send)
    d.end(send)
    return send.node


def turned_away(d: Driver, node: str, times: int) -> list[str]:
    """Parts that this server turns away; others take them. The lines for the operators that came of it."""
    lines: list[str] = []
    while times:
        for send in of(d.query(1, [int(node[1:])], after=10_000), policy.Send):
            full = send.node == node
            times -= full
            told = d.end(send, policy.Outcome.REJECTED if full else policy.Outcome.OK)
            lines += [benchlink.journal_text(event) for event in of(told, policy.OperatorEvent)]
            for again in of(told, policy.Send):
                d.end(again, seq=1)
    return lines


def test_a_server_that_turns_all_away_is_ejected_until_it_would_be_met_again():
    d = seldom()
    assert turned_away(d, "s7", 2) == ["server s7 ejected: turns away all that comes"]
    for after in (10_000, AIM, AIM, AIM, AIM):  # an aim was the whole of it
        assert sent_to(d, 7, after) != "s7"


def test_one_that_is_full_once_is_not_ejected_and_an_answer_between_counts():
    d = seldom()
    for _ in range(3):
        turned_away(d, "s7", 1)
        d.agg.endpoints["s7"].penalty.value = 0.0
        while sent_to(d, 7, AIM) != "s7":
            pass
    assert not d.agg.endpoints["s7"].ejections


def test_where_most_turn_away_it_is_overload_and_no_more_are_ejected():
    d = seldom()
    for n in range(0, SERVERS, 2):
        turned_away(d, f"s{n}", 2)
    ejected = [server for server in d.agg.endpoints.values() if server.ejections]
    assert len(ejected) == 0.4 * SERVERS


def test_a_slow_answer_is_known_at_the_next_visit():
    d = seldom()
    while (send := of(d.query(1, [7], after=10_000), policy.Send)[0]).node != "s7":
        d.end(send)
    d.end(send, took=8 * AIM // 10)
    d.wait(16 * AIM)  # such a broker meets it about every 15
    assert d.agg.latency.relative_latency(d.agg.endpoints["s7"]) > 2
    assert "s7" not in {sent_to(d, 7, 5_000) for _ in range(6)}


def test_a_broker_that_meets_servers_often_forgets_as_ever():
    d = Driver(make_settings())
    for n in range(400):
        for send in of(d.query(1, [n % 6], after=5_000), policy.Send):
            d.end(send)
    assert d.agg.latency.memory_us(1.0) == AIM


def spend(d: Driver) -> None:
    """Use up the broker's own budget of further attempts."""
    d.agg.retry_budget.bucket.tokens = 0.0


def test_a_part_that_met_nobody_is_sent_elsewhere_beyond_the_own_budget():
    d = seldom()
    spend(d)
    (send,) = of(d.query(1, [7]), policy.Send)
    (again,) = of(d.end(send, policy.Outcome.UNREACHABLE), policy.Send)
    assert again.node != send.node and d.agg.retry_budget.bucket.tokens >= 0


def test_a_part_out_of_budget_waits_for_it_while_its_query_can_meet_the_aim():
    """Given up at once its client would ask for all parts anew."""
    d = seldom()
    spend(d)
    sends = of(d.query(1, [7, 17, 27]), policy.Send)
    seen = d.end(sends[0], policy.Outcome.REJECTED)
    assert not of(seen, policy.Reject) and not of(seen, policy.Send)
    d.agg.retry_budget.bucket.tokens = 1.0  # earned by the first parts of others
    again = of(d.wait(AIM // 10), policy.Send)
    assert [a.id for a in again] == [sends[0].id]


def test_a_part_out_of_budget_is_given_up_where_the_aim_is_out_of_reach():
    d = seldom()
    spend(d)
    sends = of(d.query(1, [7, 17, 27]), policy.Send)
    d.wait(int(0.92 * AIM))
    spend(d)
    assert of(d.end(sends[0], policy.Outcome.REJECTED), policy.Reject)


def test_a_broker_that_meets_each_server_within_an_aim_forgets_by_its_aims():
    """Three times the way between two visits was over an aim, though each is met within one: what a cancelled
    attempt may still cost was held for three times as long, and sound servers were kept away from.
    """
    d = Driver(make_settings(shards=6, replica_groups=6, slow_start_duration_us=60_000_000))
    for n in range(60):
        for send in of(d.query(1, [n % 6], after=AIM // 8), policy.Send):
            d.end(send)
    server = d.agg.endpoints["s1"]
    d.agg.load.add_penalty(server)
    began, now = d.agg.load.penalty(server), d.agg.context.now_us
    d.agg.context.now_us = now + AIM
    assert d.agg.load.penalty(server) <= 0.37 * began
