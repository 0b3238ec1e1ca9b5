"""One broker of a machine: started beside, digests told, drained, restarted with waits that double, given up.
Pure.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathwell.fleet.rollout import StaleDecisionError
from heathwell.fleet.rollout.broker_supervisor import (
    BrokerSupervisor,
    LogMessage,
    StartProcess,
    StopProcess,
    SupervisorLimits,
    SupervisorState,
)

S = 1_000_000


def running(version="old"):
    supervisor = BrokerSupervisor("b0")
    supervisor.set_desired_version(0, version, 1, 1)
    supervisor.on_process_ready(S, 1)
    return supervisor


def acts(actions, kind):
    return [act for act in actions if isinstance(act, kind)]


def test_the_old_one_serves_until_the_new_one_does_and_then_finishes_what_it_holds():
    supervisor = running()
    actions = supervisor.set_desired_version(2 * S, "new", 1, 2)
    assert (
        acts(actions, StartProcess) == [StartProcess(2, "new")]
        and supervisor.state == SupervisorState.REPLACING
        and supervisor.version == "old"
    )
    assert (
        acts(supervisor.on_process_ready(3 * S, 2), StopProcess) == [StopProcess(1)]
        and supervisor.version == "new"
        and supervisor.state == SupervisorState.DRAINING
    )
    assert (
        not acts(supervisor.on_process_exited(4 * S, 1, 0), StartProcess)
        and supervisor.state == SupervisorState.RUNNING
        and not supervisor.failures
    )


def test_a_wish_that_is_older_is_not_taken_and_one_repeated_does_nothing():
    supervisor = running()
    supervisor.set_desired_version(2 * S, "new", 2, 5)
    supervisor.on_process_ready(3 * S, 2)
    supervisor.on_process_exited(3 * S, 1, 0)
    with pytest.raises(StaleDecisionError, match=r"\(2, 4\) is older than \(2, 5\)"):
        supervisor.set_desired_version(4 * S, "old", 2, 4)
    with pytest.raises(StaleDecisionError, match=r"\(1, 9\) is older than \(2, 5\)"):
        supervisor.set_desired_version(4 * S, "old", 1, 9)
    assert supervisor.desired_version == "new"
    assert supervisor.set_desired_version(4 * S, "new", 2, 5) == []


def test_one_that_lies_about_itself_never_serves():
    supervisor = running()
    supervisor.set_desired_version(2 * S, "new", 1, 2)
    for run in (2, 3):  # tried twice
        actions = supervisor.on_process_rejected(3 * S, run, "its files are others")
        assert StopProcess(run, force=True) in actions
        supervisor.on_process_exited(3 * S, run, -9)
    assert (
        supervisor.version == "old"
        and "others" in supervisor.failures["new"]
        and supervisor.state == SupervisorState.RUNNING
    )
    assert not supervisor.tick(9 * S)


def test_one_that_does_not_serve_in_time_is_killed_and_the_old_one_stays():
    supervisor = running()
    supervisor.set_desired_version(2 * S, "new", 1, 2)
    actions = supervisor.tick(2 * S + SupervisorLimits().start_timeout_us)
    assert (
        StopProcess(2, force=True) in actions
        and StartProcess(3, "new") in actions
        and supervisor.version == "old"
    )


def test_one_that_does_not_finish_in_time_is_killed():
    supervisor = running()
    supervisor.set_desired_version(2 * S, "new", 1, 2)
    supervisor.on_process_ready(3 * S, 2)
    assert not acts(supervisor.tick(4 * S), StopProcess)
    assert StopProcess(1, force=True) in supervisor.tick(3 * S + SupervisorLimits().drain_timeout_us)
    supervisor.on_process_exited(15 * S, 1, -9, in_flight=3)
    assert (
        "did not" not in supervisor.state
        and supervisor.unexpected_exits == 1
        and "3 held" in supervisor.failures["new"]
    )


def test_what_crashes_is_started_again_with_waits_that_double_and_given_up_loudly():
    supervisor, now, starts, said = running(), 2 * S, [], []
    supervisor.on_process_exited(now, 1, 1)
    while supervisor.state != SupervisorState.GAVE_UP:
        assert supervisor.state == SupervisorState.WAITING
        for act in supervisor.tick(now):
            if isinstance(act, StartProcess):
                starts.append(now)
                said += acts(supervisor.on_process_exited(now, act.run, 1), LogMessage)
        now += 50_000
        assert now < 60 * S
    waits = [after - before for before, after in zip(starts, starts[1:], strict=False)]
    assert (
        all(after > 1.5 * before for before, after in zip(waits, waits[1:], strict=False))
        and len(starts) >= 4
    )
    assert any(say.level == "error" and "operator" in say.text for say in said)
    assert not supervisor.tick(now + 100 * S)
    assert acts(supervisor.set_desired_version(now, "other", 1, 3), StartProcess)  # a new wish is tried


def test_a_version_that_keeps_dying_gives_way_to_the_one_before():
    supervisor, now = running(), 2 * S
    supervisor.set_desired_version(now, "new", 1, 2)
    supervisor.on_process_ready(now, 2)
    supervisor.on_process_exited(now, 1, 0)
    started = ""
    for _ in range(2000):
        now += 50_000
        for act in supervisor.tick(now):
            if isinstance(act, StartProcess):
                started = act.version
                if started == "new":
                    supervisor.on_process_ready(now, act.run)
        if started == "old":
            break
        if supervisor.serving is not None:
            supervisor.on_process_exited(now, supervisor.serving.run, 1)
    assert started == "old" and "in a row" in supervisor.failures["new"]


def test_a_wish_that_changes_while_the_new_one_starts_ends_that_start():
    supervisor = running()
    supervisor.set_desired_version(2 * S, "new", 1, 2)
    actions = supervisor.set_desired_version(2 * S, "old", 1, 3)
    assert (
        StopProcess(2, force=True) in actions
        and supervisor.version == "old"
        and supervisor.state == SupervisorState.RUNNING
    )


def test_an_adopted_process_is_replaced_like_any_other():
    supervisor = BrokerSupervisor("b0")
    supervisor.adopt_process(0, 7, "old")
    assert acts(supervisor.set_desired_version(S, "new", 1, 1), StartProcess) == [StartProcess(8, "new")]
    assert StopProcess(7) in supervisor.on_process_ready(2 * S, 8)


@given(
    st.lists(
        st.tuples(st.sampled_from(["want", "ready", "lie", "end", "crash", "wait"]), st.integers(0, 3)),
        max_size=60,
    )
)
def test_whatever_happens_at_most_one_serves_one_starts_and_one_goes(steps):
    """And an address that was served is never left without a start to come, but by giving up."""
    supervisor, now, number, live = BrokerSupervisor("b0"), 0, 0, {}
    for what, which in steps:
        now += 300_000
        actions = []
        if what == "want":
            number += 1
            actions = supervisor.set_desired_version(now, f"v{which}", 1, number)
        elif what == "wait":
            actions = supervisor.tick(now)
        elif live:
            run = sorted(live)[which % len(live)]
            if what == "ready":
                actions = supervisor.on_process_ready(now, run)
            elif what == "lie":
                actions = supervisor.on_process_rejected(now, run, "a lie")
            else:
                del live[run]
                actions = supervisor.on_process_exited(now, run, 0 if what == "end" else 1)
        actions = list(actions)
        while actions:
            act = actions.pop(0)
            if isinstance(act, StartProcess):
                assert act.run not in live
                live[act.run] = act.version
            elif isinstance(act, StopProcess) and act.force and live.pop(act.run, None):
                actions += supervisor.on_process_exited(now, act.run, -9)
        parts = [
            p.run for p in (supervisor.serving, supervisor.starting, supervisor.draining) if p is not None
        ]
        assert len(parts) == len(set(parts)) and set(parts) <= set(live)
        assert supervisor.state in (
            SupervisorState.EMPTY,
            SupervisorState.STARTING,
            SupervisorState.RUNNING,
            SupervisorState.REPLACING,
            SupervisorState.DRAINING,
            SupervisorState.WAITING,
            SupervisorState.GAVE_UP,
        )
        if (
            supervisor.desired_version
            and supervisor.serving is None
            and supervisor.starting is None
            and supervisor.draining is None
        ):
            assert supervisor.state in (SupervisorState.WAITING, SupervisorState.GAVE_UP)


@pytest.mark.parametrize("code", [1, -15])
def test_a_bad_end_of_the_one_that_goes_speaks_against_what_is_wished(code):
    """Where a version is started a second time, how its first run ended is part of what it is."""
    supervisor = running("new")
    supervisor.set_desired_version(2 * S, "new~", 1, 2)
    supervisor.on_process_ready(3 * S, 2)
    supervisor.on_process_exited(3 * S, 1, code, in_flight=2)
    assert "2 held" in supervisor.failures["new~"]
