"""Whether a zone is unhealthy, weighed from the reports of brokers in other zones.

Owns the latest report of each broker. May import the evidence's records and the parameters.

A zone counts as unhealthy only if it is so from all other zones: where some of them reach it well the path is
unhealthy, which each broker handles by itself.
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
    """The conclusion on a zone, or on one query class there, with its evidence in words."""

    is_unhealthy: bool
    reason: str


@dataclass(frozen=True, slots=True)
class _Observation:
    """What one broker reports on the zone in question."""

    broker_zone: str
    cut_off: bool
    counts: AttemptCounts


@dataclass(slots=True)
class _ZoneVote:
    """Weight of the reports from one zone, and of those among them that see too much loss."""

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
        """Take in a broker's report; it replaces the earlier one."""
        self._received[report.broker] = _ReceivedReport(now_us, report)

    def expire(self, now_us: int) -> None:
        """Drop the reports that are older than ``report_max_age_us``."""
        oldest_at_us = now_us - self._parameters.report_max_age_us
        self._received = {
            broker: received
            for broker, received in self._received.items()
            if received.received_at_us > oldest_at_us
        }

    def reports(self) -> list[BrokerReport]:
        """The latest report of each broker."""
        return [received.report for received in self._received.values()]

    def outside_counts(self, zone: str, query_class: str | None = None) -> AttemptCounts:
        """What brokers of other zones observed of a zone: of one query class, or of all."""
        return sum_counts(observation.counts for observation in self._observations(zone, query_class))

    def observed_classes(self, zone: str) -> frozenset[str]:
        """The query classes of which enough attempts were observed there; probes are none."""
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
        """Whether the few attempts that still go to a zone are answered.

        Without any attempt from outside, at least one of its own brokers must not be cut off.
        """
        counts = self.outside_counts(zone)
        if counts.total:
            return counts.loss <= 1 - self._parameters.required_success_fraction
        own_reports = [report for report in self.reports() if report.zone == zone]
        return any(not report.cut_off for report in own_reports)

    def assess(self, zone: str, query_class: str | None, minimum_attempts: int) -> HealthAssessment:
        """Whether the other zones agree that a zone, or one query class there, is unhealthy.

        Below ``minimum_attempts`` (at least 1) it counts as healthy.
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
        """What brokers of other zones report, but for those that are cut off themselves.

        The latter count only where the rest observe the same: of three zones two may be down, and no broker
        is cut off.
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
        """Votes by the brokers' zone.

        Brokers can lie, or share an unhealthy path, so that both their weight and the zones must agree. The
        number of attempts is a broker's own claim as well: none has more weight than the median of them.
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
    """The brokers' zones from which at least so many attempts were observed."""
    totals: defaultdict[str, int] = defaultdict(int)
    for observation in observations:
        totals[observation.broker_zone] += observation.counts.total
    return [zone for zone, total in totals.items() if total >= minimum_attempts]
