"""The ordinary path of the design page."""

from heathwell import policy

from .conftest import AIM, of


def test_sends_only_the_needed_parts_and_answers_at_n(drive):
    d = drive()
    sends = of(d.query(0, [0, 1, 2, 3]), policy.Send)
    assert len(sends) == 3
    assert of(d.end(sends[0]), policy.Answer) == []
    assert of(d.end(sends[1]), policy.Answer) == []
    assert of(d.end(sends[2]), policy.Answer) == [policy.Answer("q1", True)]


def test_each_pick_counts_before_the_next(drive):
    d = drive()
    sends = of(d.query(1, [0, 0, 0]), policy.Send)
    assert len({s.node for s in sends}) == 3
    assert {s.node for s in sends} == {"s0", "s1", "s2"}


def test_late_part_gets_an_unsent_sibling_and_stays_open(drive):
    d = drive()
    sends = of(d.query(0, [0, 1, 2, 3]), policy.Send)
    for send in sends[:2]:
        d.end(send)
    seen = d.wait(AIM // 2 + 10_000)
    spares = of(seen, policy.Send)
    assert len(spares) == 1
    assert spares[0].id not in {s.id for s in sends}
    assert of(seen, policy.Cancel) == []
    assert of(d.end(spares[0]), policy.Answer) == [policy.Answer("q1", True)]


def test_failed_part_is_replaced(drive):
    d = drive()
    send = of(d.query(1, [0]), policy.Send)[0]
    again = of(d.end(send, policy.Outcome.ERROR), policy.Send)
    assert len(again) == 1 and again[0].node != send.node


def test_each_send_states_its_reason(drive):
    first, substitute, hedge, cancelled, retry = (
        policy.AttemptReason.FIRST,
        policy.AttemptReason.SUBSTITUTE,
        policy.AttemptReason.HEDGE,
        policy.AttemptReason.CANCELLED,
        policy.AttemptReason.RETRY,
    )

    def reasons(actions):
        return [(send.reason, send.is_additional) for send in of(actions, policy.Send)]

    spare_part = drive()
    sends = spare_part.query(0, [0, 1, 2, 3])
    assert reasons(sends) == [(first, False)] * 3
    assert reasons(spare_part.wait(AIM // 2 + 10_000)) == [(substitute, True)]

    hedged = drive(hedging_allowed=True)
    assert reasons(hedged.query(1, [0])) == [(first, False)]
    assert reasons(hedged.wait(AIM // 2 + 10_000)) == [(hedge, True)]

    moved = drive(cancellation_allowed=True)
    moved.query(1, [0])
    assert reasons(moved.wait(AIM // 2 + 10_000)) == [(cancelled, True)]

    failed = drive()
    (send,) = of(failed.query(1, [0]), policy.Send)
    assert reasons(failed.end(send, policy.Outcome.ERROR)) == [(retry, True)]
