"""Each rule and each exception, one by one."""

from __future__ import annotations

from heathwell import policy

from .conftest import AIM, entry, of


def warm_up(d, shards=range(6), rounds=20):
    """Some answered traffic, so that the usual latency and intake are known."""
    for _ in range(rounds):
        for shard in shards:
            for send in of(d.query(1, [shard]), policy.Send):
                d.end(send, after=20_000, took=20_000)


def test_unanswered_query_ends_before_its_deadline(drive):
    d = drive(retry_advice_allowed=True, max_retry_after_us=400_000)
    d.query(1, [0, 1])
    seen = d.wait(2 * AIM - 5_000)
    finals = of(seen, policy.Reject)
    assert len(finals) == 1 and 0 < finals[0].retry_after_us <= 400_000


def test_class_without_late_worth_is_given_up_at_its_aim(drive):
    d = drive()
    d.query(2, [0])
    assert len(of(d.wait(AIM + 20_000), policy.Reject)) == 1


def test_unsafe_part_that_may_have_run_is_not_repeated_and_its_query_failed(drive):
    d = drive(hedging_allowed=True, cancellation_allowed=True)
    send = of(d.query(4, [0]), policy.Send)[0]
    seen = d.end(send, policy.Outcome.ERROR)  # at once: nothing can still come
    assert of(seen, policy.Send) == [] and of(seen, policy.Reject) == []
    assert of(seen, policy.Fail) == [policy.Fail("q1")]


def test_unsafe_part_that_never_ran_is_tried_elsewhere(drive):
    d = drive()
    send = of(d.query(4, [0]), policy.Send)[0]
    again = of(d.end(send, policy.Outcome.UNREACHABLE), policy.Send)
    assert len(again) == 1 and again[0].node != send.node


def test_keyed_part_is_cancelled_and_resent_inside_its_window_only(drive):
    d = drive(cancellation_allowed=True)
    send = of(d.query(3, [0]), policy.Send)[0]
    seen = d.wait(AIM // 2 + 10_000)
    assert of(seen, policy.Cancel) == [policy.Cancel(send.id, 0)]
    again = of(seen, policy.Send)
    assert len(again) == 1 and again[0].node != send.node
    assert of(d.wait(AIM), policy.Send) == []
    assert of(d.end(again[0], policy.Outcome.ERROR, seq=1), policy.Send) == []


def test_late_part_without_sibling_gets_a_copy_where_allowed(drive):
    d = drive(hedging_allowed=True, cancellation_allowed=True)
    send = of(d.query(1, [0]), policy.Send)[0]
    seen = d.wait(AIM // 2 + 10_000)
    copies = of(seen, policy.Send)
    assert [c.id for c in copies] == [send.id] and copies[0].node != send.node
    assert of(seen, policy.Cancel) == []


def test_draining_and_gone_servers_get_nothing(drive):
    d = drive()
    d.step(
        5000,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL,
            (entry(0, state=policy.EndpointState.DRAINING), entry(1, state=policy.EndpointState.GONE)),
        ),
    )
    for _ in range(9):
        for send in of(d.query(1, [0]), policy.Send):
            assert send.node == "s2"
            d.end(send)
    d.step(5000, policy.EndpointUpdate(policy.UpdateKind.FULL, tuple(entry(i) for i in (0, 3, 4, 5))))
    assert {s.node for s in of(d.query(1, [0]), policy.Send)} == {"s0"}


def test_cold_server_gets_our_share_of_its_ramp_only(drive):
    d = drive(aggregator_count=2)
    warm_up(d)
    d.step(0, policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, (entry(0, started_at_us=d.now - 10_000),)))
    to_cold = 0
    start = d.now
    while d.now < start + 900_000:
        for send in of(d.query(1, [0]), policy.Send):
            to_cold += send.node == "s0"
            d.end(send, after=20_000, took=20_000)
    # A warm server answered 6.7 parts a second here; 2 x 0.2 to 0.27 of that is 2.7 to 3.6, while an
    # even third of this traffic would be 12.
    assert 1 <= to_cold <= 3


def test_lost_servers_do_not_widen_the_cold_budget(drive):
    """Guards against a fall-back flood: with most of the fleet gone the rest must not look larger."""
    rooms = []
    for gone in ((), (2, 3, 4, 5)):
        d = drive()
        warm_up(d)
        d.step(
            0,
            policy.EndpointUpdate(
                policy.UpdateKind.INCREMENTAL, tuple(entry(i, state=policy.EndpointState.GONE) for i in gone)
            ),
        )
        d.step(
            0, policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL, (entry(0, started_at_us=d.now - 10_000),))
        )
        sends = [s for _ in range(4) for s in of(d.query(1, [0] * 3), policy.Send)]
        rooms.append(sum(s.node == "s0" for s in sends))
    assert rooms[1] <= rooms[0] + 1 <= 3


def test_many_small_brokers_do_not_all_send_a_fresh_server_its_first_part(drive):
    """Guards a server new on the list: each broker owes it far less than a part, together they owe it few."""
    firsts = 0
    for seed in range(40):
        d = drive(seed=seed)
        warm_up(d, rounds=2)
        d.wait(2 * AIM)
        d.step(
            0,
            policy.EndpointUpdate(
                policy.UpdateKind.INCREMENTAL, tuple(entry(i, started_at_us=d.now - 10_000) for i in (0, 1))
            ),
        )
        firsts += sum(s.node != "s2" for _ in range(3) for s in of(d.query(1, [0]), policy.Send))
    assert firsts <= 30


def test_whole_and_partial_answers_are_honest(drive):
    d = drive()
    sends = of(d.query(5, [0, 1, 2]), policy.Send)
    assert len(sends) == 3
    d.end(sends[0])
    d.end(sends[1])
    answers = of(d.wait(2 * AIM), policy.Answer)
    assert answers == [policy.Answer("q1", False)]


def test_partial_under_the_floor_is_never_given(drive):
    d = drive()
    sends = of(d.query(5, [0, 1, 2]), policy.Send)
    d.end(sends[0])
    seen = d.wait(2 * AIM)
    assert of(seen, policy.Answer) == [] and len(of(seen, policy.Reject)) == 1


def test_first_step_is_cut_while_the_second_has_time_and_never_answered_at_the_deadline(drive):
    """Guards "no lost query": an answer of the first step a tick before the end leaves the query without
    its final one (waw-main big-2)."""
    d = drive()
    sends = of(d.query(6, [0, 1, 2, 3]), policy.Send)
    d.end(sends[0], took=100_000)
    d.end(sends[1], took=100_000)
    cut = of(d.wait(AIM - 100_000), policy.Answer)
    assert cut == [policy.Answer("q1", False)]
    second = of(
        d.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 0, 0.5)),
        policy.Send,
    )
    d.end(second[0])
    assert of(d.end(second[1]), policy.Answer) == [policy.Answer("q1", False)]


def test_a_marked_repeat_alone_is_taken_for_a_cut_retry(drive):
    """Guards impatient first tries (waw-main rough-2): a short deadline proves no repeat."""
    for marks, retry, aimed in ((True, False, AIM), (True, True, AIM // 2), (False, False, AIM // 2)):
        d = drive(clients_mark_retries=marks)
        d.query(1, [0])
        d.query(1, [0], limit=AIM * 3 // 2, is_retry=retry)
        assert d.agg.queries["q2"].objective_at_us == d.now + aimed


def test_the_slowest_of_many_parts_is_expected_later_than_that_of_few(drive):
    """Guards large all-parts queries (waw-main overload): a rank among latencies hides their slowest part."""
    for parts, refused in ((4, False), (60, True)):
        d = drive(overload_multiple=0.0)
        for _ in range(15):
            for send in of(d.query(1, [0]), policy.Send):
                d.end(send, after=90_000, took=300_000)
        assert bool(of(d.query(1, [n % 6 for n in range(parts)]), policy.Reject)) == refused


def slow_shard(d, slow=("s0", "s1", "s2")):
    """Traffic under the rate at which counts tell; the holders of shard 0 take most of an aim."""
    for shards in ((3, 3, 3), *[(0, 3, 3)] * 4):
        for shard in shards:
            for send in of(d.query(1, [shard]), policy.Send):
                d.end(send, after=120_000, took=1_500_000 if send.node in slow else 50_000)


def test_a_query_of_a_slow_shard_is_refused_and_the_others_are_not(drive):
    """Guards hot districts (mae-ping-courier rough-1): the shard tells, not a rank among all latencies."""
    d = drive()
    slow_shard(d)
    assert len(of(d.query(1, [0, 3]), policy.Reject)) == 1
    assert of(d.query(1, [3]), policy.Reject) == [] and of(d.query(0, [0, 3, 3, 3]), policy.Reject) == []


def test_a_server_met_seldom_is_known_by_its_last_answers(drive):
    """Guards ageing servers (mae-ping-courier big-1): seven answers made an average, 25 s at that rate."""
    d = drive(replica_groups=3, shards=3)
    warm_up(d, shards=range(3), rounds=4)
    for late in (20_000, 20_000, 400_000):
        d.wait(2 * AIM)
        send = of(d.query(1, [0]), policy.Send)[0]
        d.end(send, after=late, took=late)
    assert all(of(d.query(1, [0]), policy.Send)[0].node != send.node for _ in range(2))


def test_parts_freed_from_a_hang_do_not_refuse_the_queries_of_now(drive):
    """Guards servers that hang by turns (waw-main big-2): what was sent long ago says nothing of now."""
    d = drive(overload_multiple=0.0)
    for shard in [*range(6)] * 2:
        d.end(of(d.query(0, [shard]), policy.Send)[0], after=200_000, took=50_000)
    stuck = [s for n in range(12) for s in of(d.query(0, [n % 6], limit=5 * AIM), policy.Send)]
    d.wait(3 * AIM)
    for send in stuck:
        d.end(send, after=0, took=3 * AIM)
    assert of(d.query(0, [0, 1, 2, 3]), policy.Reject) == []


def test_advice_is_spread_also_where_clients_heed_little(drive):
    """Guards a wave of retries: cut after the spread, all got the same moment (waw-main, 500 ms)."""
    advice = set()
    for seed in range(6):
        d = drive(seed=seed, retry_advice_allowed=True, max_retry_after_us=300_000)
        d.query(1, [0], limit=AIM // 2)
        advice |= {r.retry_after_us for r in of(d.wait(AIM // 2), policy.Reject)}
    assert len(advice) == 6 and max(advice) <= 300_000


def test_a_query_that_broke_one_holder_is_tried_next_at_another_shard(drive):
    """Guards shards of two holders (mae-ping-courier): one deadly query must not take both."""
    d = drive(overload_multiple=0.0)
    warm_up(d, rounds=2)
    d.end(of(d.query(1, [5]), policy.Send)[0], policy.Outcome.BROKEN)  # the broker is wary now
    first = of(d.query(1, [0, 3]), policy.Send)
    assert len(first) == 1
    again = of(d.end(first[0], policy.Outcome.BROKEN), policy.Send)
    assert len(again) == 1 and again[0].id != first[0].id
    more = of(d.end(again[0]), policy.Send)
    assert [m.id for m in more] == [first[0].id]  # cleared by an answer, the broken part is sent again


def test_one_quick_answer_of_an_avoided_server_does_not_clear_it(drive):
    """Guards slow servers of a busy broker (taoyuan-shared big-2): the pause is its own."""
    d = drive(overload_multiple=0.0)
    warm_up(d)
    server = d.agg.endpoints["s0"]
    server.relative_latency.value, server.relative_latency.updated_at_us = (
        8.0,
        d.now,
    )  # as after a run of slow answers
    warm_up(d, shards=(3, 4, 5))
    d.query(1, [1], after=0), d.query(1, [1], after=0)  # its neighbours are busy now
    before = d.agg.latency.relative_latency(server)
    send = next(s for _ in range(9) for s in of(d.query(1, [0], after=0), policy.Send) if s.node == "s0")
    d.end(send, after=20_000, took=20_000)
    assert server.relative_latency.value - 1 > 0.8 * (before - 1) > 1


def test_a_query_past_its_time_and_a_batch_after_a_stall_end_once(drive):
    """Guards a broker that stood still: all that waited comes at once, some of it too late."""
    d = drive()
    warm_up(d)
    seen = d.query(1, [0, 1], limit=-5_000)
    assert len(of(seen, policy.Reject)) == 1 and of(seen, policy.Send) == []
    sends = of(d.query(1, [0, 1]), policy.Send)
    d.now += 3 * AIM
    late = d.step(
        0,
        *[policy.AttemptEnded(s.id, 0, s.node, policy.Outcome.OK, 3 * AIM) for s in sends],
        policy.ClientDisconnected(f"q{d.jobs}"),
        policy.TimerFired("due"),
    )
    assert len(of(late, policy.Answer)) + len(of(late, policy.Reject)) <= 1
    assert d.agg.queries == {} and len(of(d.query(1, [0]), policy.Send)) == 1


def test_a_second_step_is_not_expected_to_take_as_long_as_a_first_of_many_parts(drive):
    """Guards large two-step queries (waw-main quiet): their own burst refused the next one."""
    d = drive(overload_multiple=0.0)
    for _ in range(15):
        for send in of(d.query(2, [0]), policy.Send):
            d.end(send, after=90_000, took=150_000)
    assert of(d.query(2, [n % 6 for n in range(20)]), policy.Reject) == []


def test_every_ending_of_a_two_step_query_is_final(drive):
    """Each moment at which the floor is reached, up to the deadline: one final answer, in time."""
    for limit in (AIM // 2, 2 * AIM):
        for after in range(0, limit, limit // 16):
            d = drive()
            sends = of(d.query(6, [0, 1, 2, 3], limit=limit), policy.Send)
            d.end(sends[0])
            seen = d.wait(after)
            seen += d.end(sends[1]) if d.now < 10_000_000 + limit - 10_000 else []
            seen += d.wait(10_000_000 + limit + 15_000 - d.now)
            assert len(of(seen, policy.Reject)) == 1 and len(of(seen, policy.Answer)) <= 1
            assert not isinstance(
                [a for a in seen if isinstance(a, policy.Answer | policy.Reject)][-1], policy.Answer
            )


def test_second_step_needs_all_its_parts(drive):
    d = drive()
    send = of(d.query(2, [0]), policy.Send)[0]
    assert of(d.end(send), policy.Answer) == [policy.Answer("q1", True)]
    second = of(
        d.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 0, 0.5)),
        policy.Send,
    )
    assert len(second) == 2 and second[0].node != second[1].node
    assert of(d.end(second[0]), policy.Answer) == []
    assert of(d.end(second[1]), policy.Answer) == [policy.Answer("q1", True)]


def test_attempt_budget_holds(drive):
    d = drive(attempt_budget_window_us=10 * AIM, free_additional_attempts=2, additional_attempt_ratio=0.0)
    again = 0
    for _ in range(6):
        send = of(d.query(1, [0]), policy.Send)[0]
        again += len(of(d.end(send, policy.Outcome.ERROR), policy.Send))
    assert again == 2


def test_own_budget_stops_a_storm_of_further_attempts(drive):
    d = drive()
    again = 0
    for job in range(60):
        for send in of(d.query(1, [job % 6]), policy.Send):
            again += len(of(d.end(send, policy.Outcome.ERROR), policy.Send))
    assert 0 < again <= 16


def test_server_that_errors_fast_does_not_draw_more_parts(drive):
    d = drive()
    warm_up(d, rounds=3)
    hits = 0
    for _ in range(20):
        for send in of(d.query(1, [0]), policy.Send):
            hits += send.node == "s0"
            d.end(send, policy.Outcome.ERROR if send.node == "s0" else policy.Outcome.OK, took=20_000)
    assert hits <= 4


def test_one_failing_class_is_ejected_alone(drive):
    d = drive(servers=1, replica_groups=1, groups_per_shard=1, shards=1)
    d2 = drive()
    for agg in (d, d2):
        for _ in range(3):
            for send in of(agg.query(1, [0]), policy.Send):
                agg.end(send, policy.Outcome.ERROR)
    # The only holder stays a candidate whatever it does.
    assert [s.node for s in of(d.query(1, [0]), policy.Send)] == ["s0"]
    bars = {s.node: set(s.ejections) for s in d2.agg.endpoints.values() if s.ejections}
    assert all(keys == {1} for keys in bars.values())


def test_silent_server_is_ejected_probed_and_tried_again(drive):
    d = drive(probing_allowed=True)
    warm_up(d)
    seen = []
    held = 0
    stuck = []
    end = d.now + 6 * AIM
    while d.now < end:
        for old, at in stuck[:]:
            if d.now > at + 2 * AIM:
                stuck.remove((old, at))
                seen += d.end(old, policy.Outcome.TIMED_OUT, took=2 * AIM)
        for send in of(d.query(1, [0]), policy.Send):
            if send.node == "s0":
                held += 1
                stuck.append((send, d.now))
            else:
                seen += d.end(send, after=20_000, took=20_000)
        seen += d.wait(100_000)
    assert held <= 4
    assert "s0" in {p.node for p in of(seen, policy.Probe)}
    d.step(5000, policy.ProbeEnded("s0", policy.Outcome.OK))
    nodes = [of(d.query(1, [0]), policy.Send)[0].node for _ in range(3)]
    assert nodes.count("s0") == 1


def test_overload_sheds_at_once_and_the_least_worth_first(drive):
    classes = (
        policy.QueryClass("dear", AIM, 2 * AIM, priority_weight=4.0),
        policy.QueryClass("cheap", AIM, 2 * AIM, priority_weight=1.0),
    )
    d = drive(classes=classes, weight_by_work=True)
    ended = {0: 0, 1: 0}
    waiting = []
    for turn in range(600):
        query_class = turn % 2
        actions = d.query(query_class, [turn % 6], after=5000)
        ended[query_class] += len(of(actions, policy.Reject))
        waiting += of(actions, policy.Send)
        if turn % 4 == 3 and waiting:
            d.end(waiting.pop(0), took=400_000)
    assert ended[1] > 1.5 * ended[0]
    assert ended[1] > 20


def test_ask_mode_subscribes_and_keeps_asking_inside_the_limit(drive):
    d = drive(poll_mode=True, poll_within_us=10 * AIM)
    assert len(of(d.first, policy.WatchEndpoints)) == 1
    for _ in range(6):
        d.step(5000, policy.EndpointUpdate(policy.UpdateKind.FAILED))
        assert len(of(d.wait(5 * AIM), policy.WatchEndpoints)) == 1
    quiet = drive()
    assert of(quiet.first, policy.WatchEndpoints) == []


def test_stale_and_foreign_events_are_ignored(drive):
    d = drive()
    assert (
        d.step(
            5000,
            policy.AttemptEnded("none", 0, "s0", policy.Outcome.OK),
            policy.ClientDisconnected("none"),
            policy.ProbeEnded("none", policy.Outcome.OK),
            policy.TimerFired("old"),
            policy.PartArrived("p", 99, 0, 1.0),
        )
        == []
    )


def test_parts_of_one_call_count_once(drive):
    d = drive(servers=1, replica_groups=1, groups_per_shard=1, shards=1, parts_per_call=4)
    d.query(1, [0, 0, 0, 0])
    assert d.agg.load.load(d.agg.endpoints["s0"]) == 1


def test_partial_first_step_goes_on_and_is_never_marked_whole(drive):
    d = drive()
    sends = of(d.query(6, [0, 1, 2, 3]), policy.Send)
    d.end(sends[0])
    d.end(sends[1])
    assert of(d.wait(AIM * 4 // 5), policy.Answer) == [policy.Answer("q1", False)]
    more = of(
        d.step(5000, policy.PartArrived("q1/a", 1, 0, 0.5), policy.PartArrived("q1/b", 1, 1, 0.5)),
        policy.Send,
    )
    d.end(more[0])
    assert of(d.end(more[1]), policy.Answer) == [policy.Answer("q1", False)]


def test_unanswered_call_to_discovery_is_made_again(drive):
    d = drive(poll_mode=True, poll_within_us=10 * AIM)
    assert len(of(d.wait(5 * AIM), policy.WatchEndpoints)) == 1
    d.step(5000, policy.EndpointUpdate(policy.UpdateKind.INCREMENTAL))
    assert of(d.wait(20 * AIM), policy.WatchEndpoints) == []


def test_tenant_over_its_share_is_shed_first(drive):
    d = drive(
        tenants=(policy.Tenant("in", 1000.0), policy.Tenant("over", 1.0)),
        over_quota_weight=0.1,
        weight_by_work=True,
    )
    refused = {0: 0, 1: 0}
    waiting = []
    for turn in range(400):
        actions = d.query(0, [turn % 6], tenant=turn % 2)
        refused[turn % 2] += len(of(actions, policy.Reject))
        waiting += of(actions, policy.Send)
        if turn % 4 == 3 and waiting:
            d.end(waiting.pop(0), took=400_000)
    assert refused[1] > 2 * refused[0]


def test_a_cut_retry_counts_its_aim_from_the_first_try(drive):
    d = drive()
    d.query(1, [0], limit=2 * AIM)
    d.query(1, [1], limit=AIM + AIM // 2)
    d.query(1, [2], limit=AIM // 2)
    aims = [q.objective_at_us - q.admitted_at_us for q in d.agg.queries.values()]
    assert aims == [AIM, AIM // 2, -AIM // 2]


def test_broker_with_few_parts_out_sheds_by_recent_latencies(drive):
    """Guards against overload that a broker can't count: it sees little of each server, all of it slow."""
    refused = {}
    for took in (40_000, 900_000):
        d, waiting, count = drive(seed=3, replica_groups=60, shards=60), [], 0
        for turn in range(200):
            actions = d.query(1, [turn % 6, (turn + 3) % 6], after=100_000)
            count += len(of(actions, policy.Reject))
            waiting += [(send, d.now) for send in of(actions, policy.Send)]
            while waiting and d.now >= waiting[0][1] + took:
                d.end(waiting.pop(0)[0], took=took)
        refused[took] = count
    assert refused[40_000] == 0 and refused[900_000] > 20


def test_one_heavy_hint_does_not_rule_the_usual_latency(drive):
    """Guards against rough hints: the usual latency leans to the hint and is no rate per hinted work."""
    d = drive()
    for job in range(30):
        hint = 1_000 if job % 10 == 0 else 100_000
        d.jobs += 1
        name = f"q{d.jobs}"
        sends = of(
            d.step(
                5000,
                policy.QueryArrived(name, d.jobs, 1, d.now + 2 * AIM, 1),
                policy.PartArrived(name + "/0", d.jobs, job % 6, 1.0, work_hint_us=hint),
            ),
            policy.Send,
        )
        d.end(sends[0], after=100_000, took=100_000)
    assert 90_000 <= d.agg.mean_latency_us[1].value <= 110_000


def test_deadly_query_is_held_then_given_up_and_an_answer_clears_it(drive):
    """Guards the fleet against queries that bring down each server that begins a part of them."""
    d = drive()
    sends = of(d.query(1, [0, 2, 4]), policy.Send)
    assert len(sends) == 3
    assert of(d.end(sends[0], policy.Outcome.BROKEN), policy.Send) == []
    assert of(d.end(sends[1], policy.Outcome.BROKEN), policy.Send) == []
    assert of(d.end(sends[2], policy.Outcome.BROKEN), policy.Reject) == [
        policy.Reject("q1", reason=policy.EndReason.QUERY_OF_DEATH)
    ]
    e = drive()
    sends = of(e.query(1, [0, 2, 4]), policy.Send)
    assert of(e.end(sends[0], policy.Outcome.BROKEN), policy.Send) == []
    assert [s.id for s in of(e.end(sends[1]), policy.Send)] == [sends[0].id]


def test_while_servers_die_one_part_goes_first_and_the_rest_once_it_is_answered(drive):
    """Guards against a deadly query costing as many servers as it has parts; also after a plain crash."""
    d = drive()
    d.end(of(d.query(1, [0]), policy.Send)[0], policy.Outcome.BROKEN)
    first = of(d.query(0, [1, 2, 3, 4]), policy.Send)
    assert len(first) == 1
    assert len(of(d.end(first[0]), policy.Send)) == 2
    d.wait(6 * AIM)
    assert len(of(d.query(0, [1, 2, 3, 4]), policy.Send)) == 3


def test_query_for_a_shard_with_slow_busy_holders_is_refused_while_others_go_on(drive):
    """Guards against queries that one hot shard holds up (a crash or drain took its neighbours)."""
    d = drive()
    d.step(
        0,
        policy.EndpointUpdate(
            policy.UpdateKind.INCREMENTAL, tuple(entry(i, state=policy.EndpointState.GONE) for i in (1, 2))
        ),
    )
    warm_up(d, shards=[3], rounds=40)
    for _ in range(15):
        for send in of(d.query(1, [0]), policy.Send):
            d.end(send, took=900_000)
    for shard in (3, 3, 3, 3, 0, 0):
        d.query(1, [shard])
    assert len(of(d.query(1, [0, 3]), policy.Reject)) == 1
    assert len(of(d.query(1, [3]), policy.Send)) == 1


def test_parts_of_a_client_that_left_are_called_off(drive):
    """Guards against work for clients that leave long before the deadline they stated."""
    d = drive(cancellation_allowed=True)
    sends = of(d.query(1, [0, 1]), policy.Send)
    d.step(200_000)
    seen = d.step(5000, policy.ClientDisconnected("q1"))
    assert {c.id for c in of(seen, policy.Cancel)} == {s.id for s in sends}


def test_late_part_keeps_its_place_on_a_server_that_answers_in_turn(drive):
    """Guards against paying twice for a part in a long queue; a server that lost it is still left."""
    for overtaken in (False, True):
        d = drive(cancellation_allowed=True, servers=6)
        early = of(d.query(1, [0, 0, 0]), policy.Send)
        late = next(s for s in of(d.query(1, [0, 0, 0]), policy.Send) if s.node == early[0].node)
        mine, other = (early[0], late) if overtaken else (late, early[0])
        seen = d.wait(AIM // 4)
        seen += d.end(other, took=AIM // 4)
        seen += d.wait(AIM // 4 + 20_000)
        assert (mine.id in {c.id for c in of(seen, policy.Cancel)}) == overtaken
