"""One broker of a machine: started beside, digests told, drained, restarted with waits that double, given up.
Pure.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.fleet.rollout.slot import (
    DRAINING,
    EMPTY,
    GAVE_UP,
    REPLACING,
    RUNNING,
    STARTING,
    WAITING,
    Patience,
    Say,
    Slot,
    Start,
    Stop,
)

S = 1_000_000


def running(version="old"):
    slot = Slot("b0")
    slot.want(0, version, 1, 1)
    slot.ready(S, 1)
    return slot


def acts(found, kind):
    return [act for act in found if isinstance(act, kind)]


def test_the_old_one_serves_until_the_new_one_does_and_then_finishes_what_it_holds():
    slot = running()
    why, found = slot.want(2 * S, "new", 1, 2)
    assert (
        not why
        and acts(found, Start) == [Start(2, "new")]
        and slot.state == REPLACING
        and slot.version == "old"
    )
    assert acts(slot.ready(3 * S, 2), Stop) == [Stop(1)] and slot.version == "new" and slot.state == DRAINING
    assert not acts(slot.ended(4 * S, 1, 0), Start) and slot.state == RUNNING and not slot.failed


def test_a_wish_that_is_older_is_not_taken_and_one_repeated_does_nothing():
    slot = running()
    slot.want(2 * S, "new", 2, 5)
    slot.ready(3 * S, 2)
    slot.ended(3 * S, 1, 0)
    assert slot.want(4 * S, "old", 2, 4)[0] and slot.want(4 * S, "old", 1, 9)[0] and slot.wanted == "new"
    assert slot.want(4 * S, "new", 2, 5) == ("", [])


def test_one_that_lies_about_itself_never_serves():
    slot = running()
    slot.want(2 * S, "new", 1, 2)
    for run in (2, 3):  # tried twice
        found = slot.ready(3 * S, run, "its files are others")
        assert Stop(run, by_force=True) in found
        slot.ended(3 * S, run, -9)
    assert slot.version == "old" and "others" in slot.failed["new"] and slot.state == RUNNING
    assert not slot.look(9 * S)


def test_one_that_does_not_serve_in_time_is_killed_and_the_old_one_stays():
    slot = running()
    slot.want(2 * S, "new", 1, 2)
    found = slot.look(2 * S + Patience().start_us)
    assert Stop(2, by_force=True) in found and Start(3, "new") in found and slot.version == "old"


def test_one_that_does_not_finish_in_time_is_killed():
    slot = running()
    slot.want(2 * S, "new", 1, 2)
    slot.ready(3 * S, 2)
    assert not acts(slot.look(4 * S), Stop)
    assert Stop(1, by_force=True) in slot.look(3 * S + Patience().drain_us)
    slot.ended(15 * S, 1, -9, held=3)
    assert "did not" not in slot.state and slot.deaths == 1 and "3 held" in slot.failed["new"]


def test_what_crashes_is_started_again_with_waits_that_double_and_given_up_loudly():
    slot, now, starts, said = running(), 2 * S, [], []
    slot.ended(now, 1, 1)
    while slot.state != GAVE_UP:
        assert slot.state == WAITING
        for act in slot.look(now):
            if isinstance(act, Start):
                starts.append(now)
                said += acts(slot.ended(now, act.run, 1), Say)
        now += 50_000
        assert now < 60 * S
    waits = [after - before for before, after in zip(starts, starts[1:], strict=False)]
    assert (
        all(after > 1.5 * before for before, after in zip(waits, waits[1:], strict=False))
        and len(starts) >= 4
    )
    assert any(say.level == "error" and "operator" in say.text for say in said)
    assert not slot.look(now + 100 * S)
    assert acts(slot.want(now, "other", 1, 3)[1], Start)  # a new wish is tried


def test_a_version_that_keeps_dying_gives_way_to_the_one_before():
    slot, now = running(), 2 * S
    slot.want(now, "new", 1, 2)
    slot.ready(now, 2)
    slot.ended(now, 1, 0)
    started = ""
    for _ in range(2000):
        now += 50_000
        for act in slot.look(now):
            if isinstance(act, Start):
                started = act.version
                if started == "new":
                    slot.ready(now, act.run)
        if started == "old":
            break
        if slot.serving is not None:
            slot.ended(now, slot.serving.run, 1)
    assert started == "old" and "in a row" in slot.failed["new"]


def test_a_wish_that_changes_while_the_new_one_starts_ends_that_start():
    slot = running()
    slot.want(2 * S, "new", 1, 2)
    found = slot.want(2 * S, "old", 1, 3)[1]
    assert Stop(2, by_force=True) in found and slot.version == "old" and slot.state == RUNNING


def test_an_adopted_process_is_replaced_like_any_other():
    slot = Slot("b0")
    slot.adopt(0, 7, "old")
    assert acts(slot.want(S, "new", 1, 1)[1], Start) == [Start(8, "new")]
    assert Stop(7) in slot.ready(2 * S, 8)


@given(
    st.lists(
        st.tuples(st.sampled_from(["want", "ready", "lie", "end", "crash", "wait"]), st.integers(0, 3)),
        max_size=60,
    )
)
def test_whatever_happens_at_most_one_serves_one_starts_and_one_goes(steps):
    """And an address that was served is never left without a start to come, but by giving up."""
    slot, now, number, live = Slot("b0"), 0, 0, {}
    for what, which in steps:
        now += 300_000
        found = []
        if what == "want":
            number += 1
            found = slot.want(now, f"v{which}", 1, number)[1]
        elif what == "wait":
            found = slot.look(now)
        elif live:
            run = sorted(live)[which % len(live)]
            if what in ("ready", "lie"):
                found = slot.ready(now, run, "a lie" if what == "lie" else "")
            else:
                del live[run]
                found = slot.ended(now, run, 0 if what == "end" else 1)
        found = list(found)
        while found:
            act = found.pop(0)
            if isinstance(act, Start):
                assert act.run not in live
                live[act.run] = act.version
            elif isinstance(act, Stop) and act.by_force and live.pop(act.run, None):
                found += slot.ended(now, act.run, -9)
        parts = [p.run for p in (slot.serving, slot.coming, slot.going) if p is not None]
        assert len(parts) == len(set(parts)) and set(parts) <= set(live)
        assert slot.state in (EMPTY, STARTING, RUNNING, REPLACING, DRAINING, WAITING, GAVE_UP)
        if slot.wanted and slot.serving is None and slot.coming is None and slot.going is None:
            assert slot.state in (WAITING, GAVE_UP)


@pytest.mark.parametrize("code", [1, -15])
def test_a_bad_end_of_the_one_that_goes_speaks_against_what_is_wished(code):
    """Where a version is started a second time, how its first run ended is part of what it is."""
    slot = running("new")
    slot.want(2 * S, "new~", 1, 2)
    slot.ready(3 * S, 2)
    slot.ended(3 * S, 1, code, held=2)
    assert "2 held" in slot.failed["new~"]
