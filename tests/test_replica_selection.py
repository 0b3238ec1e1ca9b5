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
