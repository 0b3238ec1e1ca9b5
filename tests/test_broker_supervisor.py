"""Supervisor of one broker: replacement beside the old process, digests, drain, backoff, giving up. Pure."""

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


def of_kind(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def test_the_old_process_serves_until_the_new_one_does_and_is_then_drained():
    supervisor = running()
    actions = supervisor.set_desired_version(2 * S, "new", 1, 2)
    assert (
        of_kind(actions, StartProcess) == [StartProcess(2, "new")]
        and supervisor.state == SupervisorState.REPLACING
        and supervisor.version == "old"
    )
    assert (
        of_kind(supervisor.on_process_ready(3 * S, 2), StopProcess) == [StopProcess(1)]
        and supervisor.version == "new"
        and supervisor.state == SupervisorState.DRAINING
    )
    assert (
        not of_kind(supervisor.on_process_exited(4 * S, 1, 0), StartProcess)
        and supervisor.state == SupervisorState.RUNNING
        and not supervisor.failures
    )


def test_a_stale_decision_is_rejected_and_a_repeated_one_has_no_effect():
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


def test_a_process_that_reports_other_files_never_serves():
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


def test_a_process_that_does_not_serve_in_time_is_killed_and_the_old_one_stays():
    supervisor = running()
    supervisor.set_desired_version(2 * S, "new", 1, 2)
    actions = supervisor.tick(2 * S + SupervisorLimits().start_timeout_us)
    assert (
        StopProcess(2, force=True) in actions
        and StartProcess(3, "new") in actions
        and supervisor.version == "old"
    )


def test_a_process_that_is_not_drained_in_time_is_killed():
    supervisor = running()
    supervisor.set_desired_version(2 * S, "new", 1, 2)
    supervisor.on_process_ready(3 * S, 2)
    assert not of_kind(supervisor.tick(4 * S), StopProcess)
    assert StopProcess(1, force=True) in supervisor.tick(3 * S + SupervisorLimits().drain_timeout_us)
    supervisor.on_process_exited(15 * S, 1, -9, in_flight=3)
    assert (
        "did not" not in supervisor.state
        and supervisor.unexpected_exits == 1
        and "3 held" in supervisor.failures["new"]
    )


def test_crashes_are_followed_by_starts_with_backoff_and_then_by_giving_up():
    supervisor, now, starts, messages = running(), 2 * S, [], []
    supervisor.on_process_exited(now, 1, 1)
    while supervisor.state != SupervisorState.FAILED:
        assert supervisor.state == SupervisorState.WAITING
        for action in supervisor.tick(now):
            if isinstance(action, StartProcess):
                starts.append(now)
                messages += of_kind(supervisor.on_process_exited(now, action.run, 1), LogMessage)
        now += 50_000
        assert now < 60 * S
    waits = [after - before for before, after in zip(starts, starts[1:], strict=False)]
    assert (
        all(after > 1.5 * before for before, after in zip(waits, waits[1:], strict=False))
        and len(starts) >= 4
    )
    assert any(message.level == "error" and "operator" in message.text for message in messages)
    assert not supervisor.tick(now + 100 * S)
    assert of_kind(
        supervisor.set_desired_version(now, "other", 1, 3), StartProcess
    )  # a new decision is tried


def test_a_version_that_keeps_crashing_is_replaced_by_the_previous_one():
    supervisor, now = running(), 2 * S
    supervisor.set_desired_version(now, "new", 1, 2)
    supervisor.on_process_ready(now, 2)
    supervisor.on_process_exited(now, 1, 0)
    started = ""
    for _ in range(2000):
        now += 50_000
        for action in supervisor.tick(now):
            if isinstance(action, StartProcess):
                started = action.version
                if started == "new":
                    supervisor.on_process_ready(now, action.run)
        if started == "old":
            break
        if supervisor.serving is not None:
            supervisor.on_process_exited(now, supervisor.serving.run, 1)
    assert started == "old" and "in a row" in supervisor.failures["new"]


def test_a_new_decision_kills_the_process_that_is_starting():
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
    assert of_kind(supervisor.set_desired_version(S, "new", 1, 1), StartProcess) == [StartProcess(8, "new")]
    assert StopProcess(7) in supervisor.on_process_ready(2 * S, 8)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["decide", "ready", "mismatch", "exit", "crash", "tick"]), st.integers(0, 3)
        ),
        max_size=60,
    )
)
def test_at_most_one_process_serves_one_starts_and_one_drains(steps):
    """And an address that was served is never left without a start to come, but by giving up."""
    supervisor, now, number, live = BrokerSupervisor("b0"), 0, 0, {}
    for what, which in steps:
        now += 300_000
        actions = []
        if what == "decide":
            number += 1
            actions = supervisor.set_desired_version(now, f"v{which}", 1, number)
        elif what == "tick":
            actions = supervisor.tick(now)
        elif live:
            run = sorted(live)[which % len(live)]
            if what == "ready":
                actions = supervisor.on_process_ready(now, run)
            elif what == "mismatch":
                actions = supervisor.on_process_rejected(now, run, "other files")
            else:
                del live[run]
                actions = supervisor.on_process_exited(now, run, 0 if what == "exit" else 1)
        actions = list(actions)
        while actions:
            action = actions.pop(0)
            if isinstance(action, StartProcess):
                assert action.run not in live
                live[action.run] = action.version
            elif isinstance(action, StopProcess) and action.force and live.pop(action.run, None):
                actions += supervisor.on_process_exited(now, action.run, -9)
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
            SupervisorState.FAILED,
        )
        if (
            supervisor.desired_version
            and supervisor.serving is None
            and supervisor.starting is None
            and supervisor.draining is None
        ):
            assert supervisor.state in (SupervisorState.WAITING, SupervisorState.FAILED)


@pytest.mark.parametrize("code", [1, -15])
def test_a_failed_drain_fails_the_desired_version(code):
    """Where a version is started a second time, how its first run ended is part of what it is."""
    supervisor = running("new")
    supervisor.set_desired_version(2 * S, "new~", 1, 2)
    supervisor.on_process_ready(3 * S, 2)
    supervisor.on_process_exited(3 * S, 1, code, in_flight=2)
    assert "2 held" in supervisor.failures["new~"]
