"""The state machine of one zone: serving, suspected, evacuated, restored.

Owns the states, the transition table and what a transition sets; what brings an event about is the
controller's. May import the parameters and the decision's records.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from heathwell.fleet.evacuation.decision import QueryClassNames, ZoneDirective
from heathwell.fleet.evacuation.parameters import RESTORE_SHARES, EvacuationParameters


class ZoneState(StrEnum):
    """States of a zone; the values are those of the wire and of event logs."""

    SERVING = "served"
    SUSPECTED = "doubted"
    EVACUATING = "leaving"
    EVACUATED = "left"
    RESTORING = "returning"


class ZoneEvent(StrEnum):
    """What moves a zone from state to state."""

    UNHEALTHY = "unhealthy"
    """The other zones' brokers agree that it is unhealthy."""
    HEALTHY = "healthy"
    """They agree on that no more."""
    CONFIRMED = "confirmed"
    """It was unhealthy for long enough, and the others can bear at least a part of it."""
    DRAINED = "drained"
    """Its brokers and clients had the time to go elsewhere."""
    PROBES_ANSWERED = "probes answered"
    """It was evacuated for long enough, and probes are answered."""
    STEP_COMPLETED = "step completed"
    """A step of the restore did well for long enough; there is a further one."""
    STEP_REVERTED = "step reverted"
    """A step of the restore lost too much; there is an earlier one."""
    RESTORE_FAILED = "restore failed"
    """The first step lost too much."""
    RESTORE_COMPLETED = "restore completed"
    """The last step did well."""
    EVACUATION_ORDERED = "evacuation ordered"
    """By an operator."""
    RESTORE_ORDERED = "restore ordered"
    """By an operator."""


# The state that an event leads to; an event that a state doesn't list changes nothing.
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
    """One zone's state, and what its directive to brokers is made of.

    ``restore_step`` is an index of ``RESTORE_SHARES``. ``pinned_by`` is the operator, with the reason, whose
    order holds until the next one.
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
        """Go on from what brokers do already, as an earlier controller decided it."""
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
        """What brokers are to do; None where they serve the zone as usual."""
        if self.state in STATES_WITHOUT_DIRECTIVE:
            return None
        return ZoneDirective(self.state.value, self.traffic_share, self.query_classes, self.reason)

    def set_scope(self, traffic_share: float, query_classes: QueryClassNames) -> None:
        """What an evacuation leaves in the zone, and the query classes that it is of (empty: all)."""
        self.traffic_share = traffic_share
        self.query_classes = query_classes

    def handle(self, now_us: int, event: ZoneEvent, reason: str) -> None:
        """Make the transition that ``TRANSITIONS`` lists for the event; none where it lists none."""
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
        # `query_classes` stays: where classes alone were evacuated, they alone are restored.
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
    # A state of a later version: brokers hold to its share, and probes and steps lead out of it from here.
    try:
        return ZoneState(value)
    except ValueError:
        return ZoneState.EVACUATED
