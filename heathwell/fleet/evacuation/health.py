"""Assesses whether a zone is unhealthy, from the reports of brokers in other zones.

Owns the latest report of each broker. Imports the records of `zone_observations` and the parameters.

A zone counts as unhealthy only if it is unhealthy from all other zones. If some of them reach it well, a
network path is faulty, which each broker handles on its own.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median_low

from heathwell.fleet.evacuation.parameters import EvacuationParameters
from heathwell.fleet.evacuation.zone_observations import PROBE_CLASS, AttemptCounts, BrokerReport, sum_counts


@dataclass(frozen=True, slots=True)
class HealthAssessment:
    """The assessment of a zone, or of one query class there; ``reason`` describes the observations."""

    is_unhealthy: bool
    reason: str


@dataclass(frozen=True, slots=True)
class _Observation:
    """What one broker reports about the assessed zone."""

    broker_zone: str
    cut_off: bool
    counts: AttemptCounts


@dataclass(slots=True)
class _ZoneVote:
    """Weight of all reports from one zone, and of those with too much loss (``against``)."""

    weight: int = 0
    against: int = 0


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    received_at_us: int
    report: BrokerReport


class HealthAssessor:
    """Assesses zones from the latest report of each broker."""

    def __init__(self, parameters: EvacuationParameters) -> None:
        self._parameters = parameters
        self._received: dict[str, _ReceivedReport] = {}

    def record_report(self, now_us: int, report: BrokerReport) -> None:
        """Record a broker's report, which replaces its previous one."""
        self._received[report.broker] = _ReceivedReport(now_us, report)

    def expire(self, now_us: int) -> None:
        """Drop reports that are older than ``report_max_age_us``."""
        oldest_at_us = now_us - self._parameters.report_max_age_us
        self._received = {
            broker: received
            for broker, received in self._received.items()
            if received.received_at_us > oldest_at_us
        }

    def reports(self) -> list[BrokerReport]:
        """Return the latest report of each broker."""
        return [received.report for received in self._received.values()]

    def outside_counts(self, zone: str, query_class: str | None = None) -> AttemptCounts:
        """Return the counts of other zones' brokers for a zone, of one query class or of all."""
        return sum_counts(observation.counts for observation in self._observations(zone, query_class))

    def observed_classes(self, zone: str) -> frozenset[str]:
        """Return the query classes with enough attempts at a zone, without the class of probes."""
        reported = {
            query_class
            for report in self.reports()
            for (reported_zone, query_class) in report.counts
            if reported_zone == zone and query_class != PROBE_CLASS
        }
        return frozenset(
            query_class
            for query_class in reported
            if self.outside_counts(zone, query_class).total >= self._parameters.minimum_attempts
        )

    def answers_probes(self, zone: str) -> bool:
        """Whether the few attempts that are still sent to an evacuated zone are answered.

        If other zones made none, at least one of the zone's own brokers must not be cut off.
        """
        counts = self.outside_counts(zone)
        if counts.total:
            return counts.loss <= 1 - self._parameters.required_success_fraction
        own_reports = [report for report in self.reports() if report.zone == zone]
        return any(not report.cut_off for report in own_reports)

    def assess(self, zone: str, query_class: str | None, minimum_attempts: int) -> HealthAssessment:
        """Return whether the other zones agree that a zone, or one query class there, is unhealthy.

        With fewer than ``minimum_attempts`` (at least 1) it counts as healthy.
        """
        observations = self._observations(zone, query_class)
        counts = sum_counts(observation.counts for observation in observations)
        if counts.total < minimum_attempts:
            return HealthAssessment(
                is_unhealthy=False, reason=f"{counts.total} attempts are too few to judge"
            )
        votes = self._votes(observations)
        voting_zones = _zones_with(max(1, minimum_attempts // 2), observations)
        agreeing_zones = [voter for voter in voting_zones if self._agrees(votes[voter])]
        total_vote = _ZoneVote(
            sum(vote.weight for vote in votes.values()), sum(vote.against for vote in votes.values())
        )
        unanimous = len(agreeing_zones) == len(voting_zones) > 0
        is_unhealthy = unanimous and self._agrees(total_vote)
        if agreeing_zones and not is_unhealthy:
            healthy_from = [voter for voter in voting_zones if voter not in agreeing_zones]
            return HealthAssessment(
                is_unhealthy=False,
                reason=f"unhealthy from {', '.join(agreeing_zones)}, healthy from {', '.join(healthy_from)}:"
                " the path, not the zone",
            )
        return HealthAssessment(
            is_unhealthy, f"{counts.loss:.0%} of {counts.total} lost from {len(voting_zones)} zones"
        )

    def _observations(self, zone: str, query_class: str | None) -> list[_Observation]:
        """Return the reports of other zones' brokers, without those that are cut off.

        The latter are included if the others observe an unhealthy zone as well: if two of three zones are
        down, the brokers of the third reach no other zone although they are not cut off.
        """
        observations = [
            _Observation(report.zone, report.cut_off, report.counts_of(zone, query_class))
            for report in self.reports()
            if report.zone != zone
        ]
        connected = [observation for observation in observations if not observation.cut_off]
        connected_loss = sum_counts(observation.counts for observation in connected).loss
        return observations if connected_loss >= self._parameters.unhealthy_loss else connected

    def _votes(self, observations: Iterable[_Observation]) -> dict[str, _ZoneVote]:
        """Return the votes by the brokers' zone.

        Brokers may send false reports or share a faulty path, so both the brokers by weight and the zones
        must agree. The number of attempts is reported by the broker itself, so the weight of each is limited
        to the median.
        """
        totals = [observation.counts.total for observation in observations if observation.counts.total]
        weight_limit = median_low(totals)
        votes: defaultdict[str, _ZoneVote] = defaultdict(_ZoneVote)
        for observation in observations:
            weight = min(observation.counts.total, weight_limit)
            vote = votes[observation.broker_zone]
            vote.weight += weight
            if observation.counts.loss >= self._parameters.unhealthy_loss:
                vote.against += weight
        return votes

    def _agrees(self, vote: _ZoneVote) -> bool:
        return vote.against >= self._parameters.agreement_fraction * vote.weight


def _zones_with(minimum_attempts: int, observations: Iterable[_Observation]) -> list[str]:
    """Return the zones whose brokers made at least ``minimum_attempts`` attempts."""
    totals: defaultdict[str, int] = defaultdict(int)
    for observation in observations:
        totals[observation.broker_zone] += observation.counts.total
    return [zone for zone, total in totals.items() if total >= minimum_attempts]
