"""Outlier detection: ejection of endpoints, probes, half-open trials and readmission; queries of death.

Constants that end in ``OBJECTIVES`` are durations in multiples of the shortest latency objective, those that
end in ``LATENCIES`` in multiples of the part's expected latency.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from heathwell.policy.actions import Probe
from heathwell.policy.context import DecisionContext
from heathwell.policy.endpoint_table import EndpointTable
from heathwell.policy.events import Outcome, ProbeEnded
from heathwell.policy.latency import LatencyModel
from heathwell.policy.operator_events import EjectionReason, EndpointEjected, EndpointReadmitted
from heathwell.policy.records import ALL_CLASSES, NEVER_US, Attempt, Ejection, Endpoint, Query, TimerKind

# Time without a response after which a late part counts against its endpoint.
UNRESPONSIVE_LATENCIES = 4.0
# Attempts in flight without a response that eject an endpoint: a single one may have met a pause, or be
# a heavy part itself.
UNRESPONSIVE_ATTEMPTS = 2
# Largest fraction of the live endpoints that is ejected for missing responses or rejections: if more of them
# fail, the cause is overload and not a fault of the endpoints.
MAXIMUM_EJECTED_FRACTION = 0.4
# Errors of one class in a row, or rejections in a row, that eject an endpoint: a single one may be chance.
CONSECUTIVE_ERRORS = 2
# Time without a response after which an ejected endpoint may have restarted without a new start time in the
# endpoint list.
RESTART_UNRESPONSIVE_OBJECTIVES = 3.0
# Duration of the first ejection, which is doubled each time a trial fails.
EJECTION_FIRST_OBJECTIVES = 1.0
# Longest duration of an ejection.
EJECTION_MAXIMUM_OBJECTIVES = 8.0
# Time after a broken connection in which each query sends one part first, as a canary.
CANARY_OBJECTIVES = 5.0
# Connections that a query without a response breaks before it is abandoned: a single one may be chance.
QUERY_OF_DEATH_CONNECTIONS = 2

# Outcomes that don't count as errors of the endpoint. A time-out may still eject it for missing responses,
# and a lost connection counts as a slow response.
NEUTRAL_OUTCOMES = (Outcome.CANCELLED, Outcome.NEVER_SENT, Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)
UNREACHABLE_REASONS = (EjectionReason.NO_CONNECTION, EjectionReason.PROBE_FAILED)


class QueryOfDeathVerdict(Enum):
    """Whether a query is suspected of crashing the endpoints that execute it, and what follows."""

    NOT_SUSPECTED = auto()
    HOLD = auto()
    ABANDON = auto()


class PenaltySink(Protocol):
    """The part of the load model that outlier detection uses."""

    def add_penalty(self, endpoint: Endpoint) -> None:
        """Charge an endpoint with one part, which decays."""


class OutlierDetector:
    """Owns the ejections, the error counts and the instant of the last response of any endpoint."""

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointTable,
        latency: LatencyModel,
        penalties: PenaltySink,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._penalties = penalties
        self._last_response_at_us = NEVER_US
        self._canary_until_us = 0.0

    # Ejection

    def accepts_attempts(self, endpoint: Endpoint, query_class: int) -> bool:
        """Return whether an endpoint accepts attempts of a class despite its ejections.

        A half-open ejection admits one trial at a time; attempts sent before the ejection ended don't count.
        """
        for key in (ALL_CLASSES, query_class):
            ejection = endpoint.ejections.get(key)
            if ejection is None:
                continue
            if not ejection.half_open or not endpoint.all_sent_before(ejection.ends_at_us):
                return False
        return True

    def eject_if_unresponsive(self, attempt: Attempt) -> None:
        """Eject the endpoint of a late attempt if it has not responded since the send and others have."""
        now_us = self._context.now_us
        endpoint = attempt.endpoint
        threshold_us = UNRESPONSIVE_LATENCIES * self._latency.expected_latency_us(attempt.part)
        if attempt.outcome is None and now_us - attempt.sent_at_us < threshold_us:
            self._context.schedule(
                int(attempt.sent_at_us + threshold_us) + 1, TimerKind.UNRESPONSIVE, attempt
            )
            return
        others_respond = endpoint.last_response_at_us < attempt.sent_at_us <= self._last_response_at_us
        if not others_respond:
            return
        # At low traffic the load of the attempt itself diverts a second one, so one time-out is enough.
        timed_out = attempt.outcome == Outcome.TIMED_OUT
        unanswered_count = sum(
            other.sent_at_us > endpoint.last_response_at_us for other in endpoint.in_flight.values()
        )
        if (timed_out or unanswered_count >= UNRESPONSIVE_ATTEMPTS) and self._may_eject_more():
            self._eject(endpoint, ALL_CLASSES, EjectionReason.NO_RESPONSE)

    def record_failure(self, attempt: Attempt, outcome: Outcome) -> None:
        """Count a failed attempt against its endpoint, and eject the endpoint if that is due."""
        endpoint = attempt.endpoint
        if outcome == Outcome.TIMED_OUT:
            self.eject_if_unresponsive(attempt)
        if outcome == Outcome.CONNECTION_LOST:
            self._latency.record_lost_connection(endpoint)
        if outcome in NEUTRAL_OUTCOMES:
            return
        self._penalties.add_penalty(endpoint)
        if outcome in (Outcome.UNREACHABLE, Outcome.BROKEN):
            canary_us = CANARY_OBJECTIVES * self._context.shortest_objective_us
            self._canary_until_us = self._context.now_us + canary_us
            self._eject(endpoint, ALL_CLASSES, EjectionReason.NO_CONNECTION)
        elif outcome == Outcome.REJECTED:
            self._record_rejection(attempt)
        else:
            self._record_error(attempt)

    def _record_rejection(self, attempt: Attempt) -> None:
        # If the part had been queued instead, it would have taken about the objective.
        self._latency.record_latency(attempt, self._context.shortest_objective_us)
        errors = attempt.endpoint.add_error(ALL_CLASSES)
        if errors >= CONSECUTIVE_ERRORS and self._may_eject_more():
            self._eject(attempt.endpoint, ALL_CLASSES, EjectionReason.REJECTS_ALL)

    def _record_error(self, attempt: Attempt) -> None:
        query_class = attempt.part.query.query_class
        if attempt.endpoint.add_error(query_class) >= CONSECUTIVE_ERRORS:
            self._eject(attempt.endpoint, query_class, EjectionReason.CONSECUTIVE_ERRORS)

    def _eject(self, endpoint: Endpoint, key: int, reason: EjectionReason) -> None:
        """Eject an endpoint, for longer each time in a row; a trial begins when the ejection ends."""
        context = self._context
        previous = endpoint.ejections.get(key)
        if previous and not previous.half_open:
            return
        duration_us = self._ejection_duration_us(previous)
        disconnect_reason = self._disconnect_reason(previous, reason)
        ejection = Ejection(context.now_us, duration_us, disconnect_reason=disconnect_reason)
        endpoint.ejections[key] = ejection
        context.schedule(ejection.ends_at_us, TimerKind.TRIAL, endpoint)
        query_class = None if key == ALL_CLASSES else key
        event = EndpointEjected(endpoint.node, query_class, reason, duration_us)
        context.notify_operators("eject " + endpoint.node, event)

    def _ejection_duration_us(self, previous: Ejection | None) -> int:
        if previous is None:
            return int(self._latency.memory_us(EJECTION_FIRST_OBJECTIVES))
        return int(min(2 * previous.duration_us, self._latency.memory_us(EJECTION_MAXIMUM_OBJECTIVES)))

    def _disconnect_reason(self, previous: Ejection | None, reason: EjectionReason) -> EjectionReason | None:
        """Return why the endpoint may have been unreachable; NO_CONNECTION is kept over later reasons."""
        earlier = previous.disconnect_reason if previous else None
        may_be_unreachable = reason in UNREACHABLE_REASONS or not self._context.settings.probing_allowed
        if may_be_unreachable and earlier != EjectionReason.NO_CONNECTION:
            return reason
        return earlier

    def _may_eject_more(self) -> bool:
        """Return whether fewer endpoints are ejected than the maximum fraction."""
        live = self._endpoints.live()
        ejected = sum(ALL_CLASSES in endpoint.ejections for endpoint in live)
        return ejected < MAXIMUM_EJECTED_FRACTION * len(live)

    # Trial and readmission

    def on_trial_due(self, endpoint: Endpoint) -> None:
        """Probe an endpoint whose ejection has ended, or admit a trial attempt."""
        for key, ejection in endpoint.ejections.items():
            if ejection.half_open or self._context.now_us < ejection.ends_at_us:
                continue
            if key == ALL_CLASSES and self._context.settings.probing_allowed and endpoint.live:
                self._context.emit(Probe(endpoint.node))
            else:
                ejection.half_open = True

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Admit a trial attempt after a successful probe; eject again, for longer, after a failed one."""
        endpoint = self._endpoints.get(event.node)
        ejection = endpoint.ejections.get(ALL_CLASSES) if endpoint else None
        if endpoint is None or ejection is None or ejection.half_open:
            return
        ejection.half_open = True
        if event.outcome != Outcome.OK:
            self._eject(endpoint, ALL_CLASSES, EjectionReason.PROBE_FAILED)

    def record_response(self, attempt: Attempt) -> None:
        """Record a response, which ends the ejections of its endpoint that began before the send."""
        endpoint = attempt.endpoint
        since_last_us = endpoint.record_response(self._context.now_us, attempt.sent_at_us)
        self._last_response_at_us = self._context.now_us
        for key in (ALL_CLASSES, attempt.part.query.query_class):
            endpoint.consecutive_errors.pop(key, None)
            ejection = endpoint.ejections.get(key)
            if ejection is None or attempt.sent_at_us < ejection.ejected_at_us:
                continue
            del endpoint.ejections[key]
            if key == ALL_CLASSES:
                self._begin_slow_start_after(endpoint, ejection, since_last_us)
                self._context.notify_operators("back " + endpoint.node, EndpointReadmitted(endpoint.node))

    def _begin_slow_start_after(self, endpoint: Endpoint, ejection: Ejection, since_last_us: int) -> None:
        """Begin slow start for an endpoint that may have restarted during its ejection."""
        was_long_unresponsive = (
            since_last_us > RESTART_UNRESPONSIVE_OBJECTIVES * self._context.shortest_objective_us
        )
        reason = ejection.disconnect_reason
        if reason == EjectionReason.NO_CONNECTION or (reason and was_long_unresponsive):
            endpoint.slow_start_from_us = self._context.now_us

    # Queries of death

    def sends_canary_first(self, query: Query) -> bool:
        """Return whether one part is sent first, so that a query of death crashes one endpoint only."""
        recent_crash = self._context.now_us < self._canary_until_us
        return recent_crash and query.step == 1 and not query.has_response


def judge_query_of_death(query: Query) -> QueryOfDeathVerdict:
    """Return whether a query is to be held or abandoned because its parts break connections.

    A query that broke a connection and has no response is held until its parts in flight have ended, then
    gets one more attempt, and is abandoned if that breaks a connection too.
    """
    if query.has_response or not query.broken_connections:
        return QueryOfDeathVerdict.NOT_SUSPECTED
    if query.in_flight():
        return QueryOfDeathVerdict.HOLD
    if query.broken_connections < QUERY_OF_DEATH_CONNECTIONS:
        return QueryOfDeathVerdict.NOT_SUSPECTED
    return QueryOfDeathVerdict.ABANDON
