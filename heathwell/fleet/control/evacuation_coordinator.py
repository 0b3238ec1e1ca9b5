"""A keeper's part in leaving zones: it hears, relays what is decided, and decides while it owns the first
fraction.

That fraction has one owner at a time (`heathwell/fleet/quotas/__init__.py`), so there is one decider at a
time. What is decided is on no disk: it is what brokers go by, and a keeper that begins to decide first hears
what that is.
"""

from __future__ import annotations

from heathwell.codec import frames
from heathwell.fleet.control import messages
from heathwell.fleet.evacuation import (
    PROBE_CLASS,
    AttemptCounts,
    BrokerReport,
    CapacityEstimator,
    Decision,
    EvacuationController,
    EvacuationError,
    EvacuationParameters,
    LoadEstimator,
    ZoneClassKey,
)
from heathwell.settings import ServiceSettings

HEAR_US = 2_500_000  # before it begins to decide: brokers renew more often
LOADED_US = 2_000_000  # over which what brokers saw is summed


def evacuation_coordinator_from_settings(service_settings: ServiceSettings) -> EvacuationCoordinator:
    """The desk that a fleet's settings ask for."""
    return EvacuationCoordinator(
        service_settings.fleet.zones,
        bears=service_settings.fleet.zone_bears,
        worth={spec.name: spec.priority_weight for spec in service_settings.classes},
    )


class EvacuationCoordinator:
    """``bears`` are parts a second that one zone's hosts bear, 0 for what their answers tell; ``worth`` is
    that of a part, by class. ``decides`` makes the decider (for the laboratory's others).
    """

    def __init__(
        self,
        zones: list[str],
        parameters: EvacuationParameters | None = None,
        bears: int = 0,
        worth: dict[str, float] | None = None,
        decides: type[EvacuationController] = EvacuationController,
    ) -> None:
        self.names = zones
        self.parameters = parameters or EvacuationParameters()
        self.bears = bears
        self.worth, self.decides = worth or {}, decides
        self.capacity = CapacityEstimator(LOADED_US)
        self.load = LoadEstimator(LOADED_US)
        self._learned_at = 0
        self.decision = Decision(0, 0)
        self.decider: EvacuationController | None = None
        self._since: int | None = None
        self._words: dict[str, tuple[int, BrokerReport]] = {}

    def heard(self, now: int, summary: BrokerReport) -> None:
        """A broker's word."""
        self._words[summary.broker] = now, summary
        if self.decider is not None:
            self.decider.record_report(now, summary)

    def told(self, decision: Decision) -> None:
        """What another goes by; the newer counts."""
        if decision.is_newer_than(self.decision):
            self.decision = decision

    def look(self, now: int, owns: bool) -> list[str]:
        """Now and then: decide, where that is this keeper's; what changed, in words."""
        self._words = {
            broker: row
            for broker, row in self._words.items()
            if now - row[0] < self.parameters.report_max_age_us
        }
        if not owns:
            self.decider, self._since = None, None
            return []
        if self._since is None:
            self._since = now
        if self.decider is None:
            if now - self._since < HEAR_US:
                return []
            self.decider = self.decides(
                self.names, self.parameters, self.decision.term + 1, now, self.decision
            )
            self.decider.priority_weights = self.worth
            for at, word in self._words.values():
                self.decider.record_report(at, word)
        seen = self.seen()
        rates = self.load.observe({key: some for key, some in seen.items() if key.query_class != PROBE_CLASS})
        if now - self._learned_at >= LOADED_US:
            self._learned_at = now
            for name in self.names:
                self.capacity.observe(
                    now,
                    name,
                    {
                        query_class: some
                        for (zone, query_class), some in seen.items()
                        if zone == name and query_class != PROBE_CLASS
                    },
                )
        self.decider.update_load(
            {name: sum(rate for (zone, _), rate in rates.items() if zone == name) for name in self.names},
            {name: float(self.bears) or self.capacity.estimate(now, name) for name in self.names},
            rates,
        )
        told = [str(transition) for transition in self.decider.reconcile(now)]
        self.told(self.decider.decision)
        return told

    def seen(self) -> dict[ZoneClassKey, AttemptCounts]:
        """What all brokers together saw lately, by zone and class."""
        sums: dict[ZoneClassKey, AttemptCounts] = {}
        for _, word in self._words.values():
            for key, some in word.counts.items():
                if key.zone in self.names:
                    sums[key] = sums.get(key, AttemptCounts()) + some
        return sums

    def order(self, now: int, order: frames.OperatorCommand) -> frames.ZonesStatus:
        """An operator's word."""
        text = ""
        if order.word != "status":
            if self.decider is None:
                text = "this keeper does not decide: ask another"
            else:
                try:
                    self.decider.execute_order(
                        now, order.zone, order.word, order.who or "an operator", order.why
                    )
                except EvacuationError as error:
                    text = str(error)
                self.told(self.decider.decision)
        states = (
            {}
            if self.decider is None
            else {
                name: f"{zone.state}, pinned by {zone.pinned_by}" if zone.pinned_by else zone.state.value
                for name, zone in self.decider.zones.items()
            }
        )
        return frames.ZonesStatus(
            self.decider is not None,
            text,
            messages.decision_to_frame(self.decision),
            states,
            messages.attempt_counts_to_frames(self.seen()),
        )
