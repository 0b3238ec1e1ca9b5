"""The state machine of one zone: serving, suspected, evacuated, restored.

Owns the states, the transition table and the effects of a transition; the controller decides on the events.
Imports the parameters and the decision's records.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from heathwell.fleet.evacuation.decision import QueryClassNames, ZoneDirective
from heathwell.fleet.evacuation.parameters import RESTORE_SHARES, EvacuationParameters


class ZoneState(StrEnum):
    """States of a zone; the values are used on the wire and in event logs."""

    SERVING = "served"
    SUSPECTED = "doubted"
    EVACUATING = "leaving"
    EVACUATED = "left"
    RESTORING = "returning"


class ZoneEvent(StrEnum):
    """Events that may change the state of a zone."""

    UNHEALTHY = "unhealthy"
    """The other zones' brokers agree that the zone is unhealthy."""
    HEALTHY = "healthy"
    """The other zones' brokers no longer agree that the zone is unhealthy."""
    CONFIRMED = "confirmed"
    """The zone was unhealthy for long enough, and other zones have capacity for a part of its load."""
    DRAINED = "drained"
    """Brokers and clients have had enough time to move to other zones."""
    PROBES_ANSWERED = "probes answered"
    """The zone was evacuated for long enough, and probes are answered."""
    STEP_COMPLETED = "step completed"
    """A restore step succeeded, and another one follows."""
    STEP_REVERTED = "step reverted"
    """A restore step after the first one lost too many attempts."""
    RESTORE_FAILED = "restore failed"
    """The first restore step lost too many attempts."""
    RESTORE_COMPLETED = "restore completed"
    """The last restore step succeeded."""
    EVACUATION_ORDERED = "evacuation ordered"
    """An operator ordered an evacuation."""
    RESTORE_ORDERED = "restore ordered"
    """An operator ordered a restore."""


# The next state for each state and event; events that a state does not list are ignored.
TRANSITIONS: dict[ZoneState, dict[ZoneEvent, ZoneState]] = {
    ZoneState.SERVING: {
        ZoneEvent.UNHEALTHY: ZoneState.SUSPECTED,
        ZoneEvent.EVACUATION_ORDERED: ZoneState.EVACUATING,
    },
    ZoneState.SUSPECTED: {
        ZoneEvent.HEALTHY: ZoneState.SERVING,
        ZoneEvent.CONFIRMED: ZoneState.EVACUATING,
        ZoneEvent.EVACUATION_ORDERED: ZoneState.EVACUATING,
    },
    ZoneState.EVACUATING: {
        ZoneEvent.DRAINED: ZoneState.EVACUATED,
        ZoneEvent.RESTORE_ORDERED: ZoneState.RESTORING,
    },
    ZoneState.EVACUATED: {
        ZoneEvent.PROBES_ANSWERED: ZoneState.RESTORING,
        ZoneEvent.RESTORE_ORDERED: ZoneState.RESTORING,
    },
    ZoneState.RESTORING: {
        ZoneEvent.STEP_COMPLETED: ZoneState.RESTORING,
        ZoneEvent.STEP_REVERTED: ZoneState.RESTORING,
        ZoneEvent.RESTORE_FAILED: ZoneState.EVACUATED,
        ZoneEvent.RESTORE_COMPLETED: ZoneState.SERVING,
        ZoneEvent.EVACUATION_ORDERED: ZoneState.EVACUATING,
    },
}
STATES_WITHOUT_DIRECTIVE = frozenset((ZoneState.SERVING, ZoneState.SUSPECTED))


@dataclass(slots=True)
class ZoneStateMachine:
    """The state of one zone, and the content of its directive to brokers.

    ``restore_step`` is an index into ``RESTORE_SHARES``. ``pinned_by`` names the operator who pinned the
    zone, with the reason; None if it is not pinned.
    """

    parameters: EvacuationParameters
    state_since_us: int
    minimum_evacuation_us: int
    state: ZoneState = ZoneState.SERVING
    restore_step: int = 0
    traffic_share: float = 1.0
    query_classes: QueryClassNames = ()
    reason: str = ""
    last_evacuated_at_us: int | None = None
    pinned_by: str | None = None

    def resume(self, now_us: int, directive: ZoneDirective) -> None:
        """Continue from the directive of an earlier controller, which brokers follow already."""
        self.state = _known_state(directive.state)
        self.traffic_share = directive.traffic_share
        self.query_classes = directive.query_classes
        self.reason = directive.reason
        self.last_evacuated_at_us = now_us
        steps_reached = (
            step for step, share in enumerate(RESTORE_SHARES) if share >= directive.traffic_share
        )
        self.restore_step = next(steps_reached, 0)

    def to_directive(self) -> ZoneDirective | None:
        """Return the directive for brokers; None if they serve the zone as usual."""
        if self.state in STATES_WITHOUT_DIRECTIVE:
            return None
        return ZoneDirective(self.state.value, self.traffic_share, self.query_classes, self.reason)

    def set_scope(self, traffic_share: float, query_classes: QueryClassNames) -> None:
        """Set the traffic share that stays in the zone and the evacuated query classes (empty: all)."""
        self.traffic_share = traffic_share
        self.query_classes = query_classes

    def handle(self, now_us: int, event: ZoneEvent, reason: str) -> None:
        """Make the transition that ``TRANSITIONS`` lists for the event; ignore any other event."""
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is None:
            return
        match next_state:
            case ZoneState.EVACUATING:
                self._enter_evacuating(now_us, event)
            case ZoneState.RESTORING:
                self._enter_restore_step(event)
            case ZoneState.SERVING:
                self.set_scope(1.0, ())
            case ZoneState.EVACUATED if event == ZoneEvent.RESTORE_FAILED:
                self.traffic_share = 0.0
                self._double_minimum_evacuation()
        self.state = next_state
        self.state_since_us = now_us
        self.reason = reason

    def _enter_evacuating(self, now_us: int, event: ZoneEvent) -> None:
        if event == ZoneEvent.EVACUATION_ORDERED:
            self.query_classes = ()
        last_at_us = self.last_evacuated_at_us
        if last_at_us is not None and now_us - last_at_us < self.parameters.flap_window_us:
            self._double_minimum_evacuation()
        else:
            self.minimum_evacuation_us = self.parameters.minimum_evacuation_us
        self.last_evacuated_at_us = now_us

    def _enter_restore_step(self, event: ZoneEvent) -> None:
        # `query_classes` is kept: if only some classes were evacuated, only these are restored.
        match event:
            case ZoneEvent.STEP_COMPLETED:
                self.restore_step += 1
            case ZoneEvent.STEP_REVERTED:
                self.restore_step -= 1
            case _:
                self.restore_step = 0
        self.traffic_share = RESTORE_SHARES[self.restore_step]

    def _double_minimum_evacuation(self) -> None:
        self.minimum_evacuation_us = min(
            2 * self.minimum_evacuation_us, self.parameters.maximum_evacuation_us
        )


def _known_state(value: str) -> ZoneState:
    # A state of a later version counts as evacuated: probes and restore steps then lead back to serving.
    try:
        return ZoneState(value)
    except ValueError:
        return ZoneState.EVACUATED
