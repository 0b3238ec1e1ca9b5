"""The supervisor of a broker's processes: replacement, digests, drain, restarts with backoff, and fallback.

Only its decisions are tested, without processes.
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

SECOND_US = 1_000_000


def running_supervisor(version="old"):
    """Return a supervisor whose first process serves a version."""
    supervisor = BrokerSupervisor("b0")
    supervisor.set_desired_version(0, version, 1, 1)
    supervisor.on_process_ready(SECOND_US, 1)
    return supervisor


def of_kind(actions, kind):
    """Return the actions of a type."""
    return [action for action in actions if isinstance(action, kind)]


def test_the_old_process_serves_until_the_new_one_is_ready_and_is_then_drained():
    supervisor = running_supervisor()
    actions = supervisor.set_desired_version(2 * SECOND_US, "new", 1, 2)
    assert (
        of_kind(actions, StartProcess) == [StartProcess(2, "new")]
        and supervisor.state == SupervisorState.REPLACING
        and supervisor.version == "old"
    )
    assert (
        of_kind(supervisor.on_process_ready(3 * SECOND_US, 2), StopProcess) == [StopProcess(1)]
        and supervisor.version == "new"
        and supervisor.state == SupervisorState.DRAINING
    )
    assert (
        not of_kind(supervisor.on_process_exited(4 * SECOND_US, 1, 0), StartProcess)
        and supervisor.state == SupervisorState.RUNNING
        and not supervisor.failures
    )


def test_a_stale_decision_is_rejected_and_a_repeated_one_has_no_effect():
    supervisor = running_supervisor()
    supervisor.set_desired_version(2 * SECOND_US, "new", 2, 5)
    supervisor.on_process_ready(3 * SECOND_US, 2)
    supervisor.on_process_exited(3 * SECOND_US, 1, 0)
    with pytest.raises(StaleDecisionError, match=r"\(2, 4\) is older than \(2, 5\)"):
        supervisor.set_desired_version(4 * SECOND_US, "old", 2, 4)
    with pytest.raises(StaleDecisionError, match=r"\(1, 9\) is older than \(2, 5\)"):
        supervisor.set_desired_version(4 * SECOND_US, "old", 1, 9)
    assert supervisor.desired_version == "new"
    assert supervisor.set_desired_version(4 * SECOND_US, "new", 2, 5) == []


def test_a_process_that_reports_a_wrong_digest_never_serves():
    supervisor = running_supervisor()
    supervisor.set_desired_version(2 * SECOND_US, "new", 1, 2)
    for run in (2, 3):  # two attempts
        actions = supervisor.on_process_rejected(3 * SECOND_US, run, "its files are others")
        assert StopProcess(run, force=True) in actions
        supervisor.on_process_exited(3 * SECOND_US, run, -9)
    assert (
        supervisor.version == "old"
        and "others" in supervisor.failures["new"]
        and supervisor.state == SupervisorState.RUNNING
    )
    assert not supervisor.tick(9 * SECOND_US)


def test_a_process_that_is_not_ready_in_time_is_killed_and_the_old_one_serves_on():
    supervisor = running_supervisor()
    supervisor.set_desired_version(2 * SECOND_US, "new", 1, 2)
    actions = supervisor.tick(2 * SECOND_US + SupervisorLimits().start_timeout_us)
    assert (
        StopProcess(2, force=True) in actions
        and StartProcess(3, "new") in actions
        and supervisor.version == "old"
    )


def test_a_process_that_is_not_drained_in_time_is_killed():
    supervisor = running_supervisor()
    supervisor.set_desired_version(2 * SECOND_US, "new", 1, 2)
    supervisor.on_process_ready(3 * SECOND_US, 2)
    assert not of_kind(supervisor.tick(4 * SECOND_US), StopProcess)
    assert StopProcess(1, force=True) in supervisor.tick(3 * SECOND_US + SupervisorLimits().drain_timeout_us)
    supervisor.on_process_exited(15 * SECOND_US, 1, -9, in_flight=3)
    assert (
        "did not" not in supervisor.state
        and supervisor.unexpected_exits == 1
        and "3 held" in supervisor.failures["new"]
    )


def test_a_crashing_process_is_restarted_with_backoff_until_the_supervisor_fails():
    supervisor = running_supervisor()
    now = 2 * SECOND_US
    start_times_us = []
    messages = []
    supervisor.on_process_exited(now, 1, 1)
    while supervisor.state != SupervisorState.FAILED:
        assert supervisor.state == SupervisorState.WAITING
        for action in supervisor.tick(now):
            if isinstance(action, StartProcess):
                start_times_us.append(now)
                messages += of_kind(supervisor.on_process_exited(now, action.run, 1), LogMessage)
        now += 50_000
        assert now < 60 * SECOND_US
    waits = [after - before for before, after in zip(start_times_us, start_times_us[1:], strict=False)]
    assert (
        all(after > 1.5 * before for before, after in zip(waits, waits[1:], strict=False))
        and len(start_times_us) >= 4
    )
    assert any(message.level == "error" and "operator" in message.text for message in messages)
    assert not supervisor.tick(now + 100 * SECOND_US)
    # A new decision is carried out.
    assert of_kind(supervisor.set_desired_version(now, "other", 1, 3), StartProcess)


def test_a_version_that_keeps_crashing_is_replaced_by_the_previous_one():
    supervisor = running_supervisor()
    now = 2 * SECOND_US
    supervisor.set_desired_version(now, "new", 1, 2)
    supervisor.on_process_ready(now, 2)
    supervisor.on_process_exited(now, 1, 0)
    started_version = ""
    for _ in range(2000):
        now += 50_000
        for action in supervisor.tick(now):
            if isinstance(action, StartProcess):
                started_version = action.version
                if started_version == "new":
                    supervisor.on_process_ready(now, action.run)
        if started_version == "old":
            break
        if supervisor.serving is not None:
            supervisor.on_process_exited(now, supervisor.serving.run, 1)
    assert started_version == "old" and "in a row" in supervisor.failures["new"]


def test_a_new_decision_kills_the_process_that_is_starting():
    supervisor = running_supervisor()
    supervisor.set_desired_version(2 * SECOND_US, "new", 1, 2)
    actions = supervisor.set_desired_version(2 * SECOND_US, "old", 1, 3)
    assert (
        StopProcess(2, force=True) in actions
        and supervisor.version == "old"
        and supervisor.state == SupervisorState.RUNNING
    )


def test_an_adopted_process_is_replaced_like_any_other():
    supervisor = BrokerSupervisor("b0")
    supervisor.adopt_process(0, 7, "old")
    assert of_kind(supervisor.set_desired_version(SECOND_US, "new", 1, 1), StartProcess) == [
        StartProcess(8, "new")
    ]
    assert StopProcess(7) in supervisor.on_process_ready(2 * SECOND_US, 8)


class SupervisorDriver:
    """A supervisor, and the versions of the processes that it has started, by run number."""

    def __init__(self):
        self.supervisor = BrokerSupervisor("b0")
        self.now = 0
        self.number = 0
        self.live = {}

    def deliver(self, event, which):
        """Deliver an event 300 ms after the previous one and return the supervisor's actions.

        ``which`` chooses the version of a decision, or the process that the event concerns.
        """
        self.now += 300_000
        if event == "decide":
            self.number += 1
            return self.supervisor.set_desired_version(self.now, f"v{which}", 1, self.number)
        if event == "tick":
            return self.supervisor.tick(self.now)
        if not self.live:
            return []
        run = sorted(self.live)[which % len(self.live)]
        if event == "ready":
            return self.supervisor.on_process_ready(self.now, run)
        if event == "mismatch":
            return self.supervisor.on_process_rejected(self.now, run, "other files")
        del self.live[run]
        return self.supervisor.on_process_exited(self.now, run, 0 if event == "exit" else 1)

    def carry_out(self, actions):
        """Start and kill processes as the actions require, and deliver the resulting exits."""
        live = self.live
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, StartProcess):
                assert action.run not in live
                live[action.run] = action.version
            elif isinstance(action, StopProcess) and action.force and live.pop(action.run, None):
                pending += self.supervisor.on_process_exited(self.now, action.run, -9)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["decide", "ready", "mismatch", "exit", "crash", "tick"]), st.integers(0, 3)
        ),
        max_size=60,
    )
)
def test_under_random_events_at_most_one_process_serves_one_starts_and_one_drains(steps):
    """Also, without any process a start is pending unless the supervisor has failed."""
    driver = SupervisorDriver()
    supervisor = driver.supervisor
    for event, which in steps:
        driver.carry_out(driver.deliver(event, which))
        live = driver.live
        processes = [
            process.run
            for process in (supervisor.serving, supervisor.starting, supervisor.draining)
            if process is not None
        ]
        assert len(processes) == len(set(processes)) and set(processes) <= set(live)
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
def test_a_failed_drain_is_a_failure_of_the_desired_version(code):
    """A rollout restarts a process of the new version to observe its drain; if that drain fails, so does the
    version.
    """
    supervisor = running_supervisor("new")
    supervisor.set_desired_version(2 * SECOND_US, "new~", 1, 2)
    supervisor.on_process_ready(3 * SECOND_US, 2)
    supervisor.on_process_exited(3 * SECOND_US, 1, code, in_flight=2)
    assert "2 held" in supervisor.failures["new~"]
