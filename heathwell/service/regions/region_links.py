"""Tracks the state of a broker's links to other regions and restricts endpoints accordingly, without any I/O.

The input is the events of attempts and probes. The state of a region's link determines which of its endpoints
are *excluded* (get no attempts) and which are *deprioritized* (used only if no other can serve a part). The
decision module selects among the rest. The states are:

- *open*, at the start and after half open: no restriction.
- *slow*, when the fastest answers take longer than those of the home region by ``SLOW_FRACTION`` of the
  shortest latency objective: the region's endpoints are deprioritized.
- *down*, when endpoints of the region failed together while the home region answers (:mod:`link_faults`):
  they are excluded, and a few are probed at growing, jittered intervals. Late answers of ``LATE_ENDPOINTS``
  endpoints make the link slow.
- *half open*, when a probe was answered: a growing, random fraction of the endpoints is usable, one step
  every ``RECOVERY_STEP_US`` while answers arrive.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping, Sequence

from heathwell.policy import Outcome
from heathwell.service.regions.crossing_budget import CrossingBudget
from heathwell.service.regions.link_faults import (
    CorrelatedFailure,
    HomeHealth,
    find_correlated_failure,
    first_decile_us,
    has_silent_endpoint,
)
from heathwell.service.regions.link_state import (
    FIRST_TRIAL_INTERVAL_US,
    FLAP_FALLS,
    FLAP_WINDOW_US,
    LATENCY_SAMPLES,
    NEVER_AT_US,
    PROBE,
    SUSPICION_INTERVAL_US,
    AttemptKey,
    EndpointActivity,
    LinkChange,
    LinkRestrictions,
    LinkState,
    RegionLink,
    RegionRoute,
)

FAILURES = (Outcome.UNREACHABLE, Outcome.BROKEN, Outcome.TIMED_OUT)
RESPONSES = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)  # Outcomes that show that the link works.
LATE_ENDPOINTS = 2  # Late answers from this many endpoints show that a link is slow rather than down.
# A link is slow if its additional delay exceeds this fraction of the shortest latency objective.
SLOW_FRACTION = 0.15
FAST_FRACTION = 0.08  # A slow link is open again if the additional delay is below this fraction.
MAXIMUM_TRIAL_INTERVAL_US = 2_000_000
TRIAL_JITTER = (0.6, 1.4)
TRIAL_ENDPOINTS = 2  # Endpoints probed in a trial: a single one may itself be down.
SUSPICION_ENDPOINTS = 4  # Endpoints probed once an endpoint of the region is silent.
QUICK_PROBES = 4  # A slow link is open again after this many fast probes in a row, as one may be jitter.
RECOVERY_FRACTIONS = (0.25, 0.5, 1.0)  # The fraction of the region's endpoints usable in each half-open step.
RECOVERY_STEP_US = 400_000
LATENCY_GAIN = 0.1


class RegionLinks:
    """The links of one broker.

    ``shortest_objective_us`` is the shortest latency objective of any class. ``prefers_home`` deprioritizes
    all endpoints of other regions; without ``detects_link_faults`` every link stays open.
    ``maximum_additional_crossings`` and ``crossing_cost_budget`` are the bounds of a :class:`CrossingBudget`.
    ``routes`` holds the configured route to each region.
    """

    def __init__(
        self,
        home: str,
        regions: Sequence[str],
        shortest_objective_us: int,
        seed: int,
        *,
        prefers_home: bool = True,
        detects_link_faults: bool = True,
        maximum_additional_crossings: int = 0,
        crossing_cost_budget: float = 0.0,
        routes: Mapping[str, RegionRoute] | None = None,
    ) -> None:
        self.home = home
        self.crossing_budget = CrossingBudget(maximum_additional_crossings, crossing_cost_budget)
        self.links = {
            region: RegionLink(region, route=(routes or {}).get(region, RegionRoute()))
            for region in regions
            if region != home
        }
        self._shortest_objective_us = shortest_objective_us
        self._prefers_home = prefers_home
        self._detects_link_faults = detects_link_faults
        self._random = random.Random(seed)
        self._endpoints: dict[str, EndpointActivity] = {}
        self._recovery_order: dict[str, float] = {}
        self._home_latency_us = 0.0
        self._home_ok_at_us = NEVER_AT_US
        self._home_latencies_us: deque[int] = deque(maxlen=LATENCY_SAMPLES)
        self._changes: list[LinkChange] = []

    def set_endpoints(self, region_by_node: Mapping[str, str]) -> None:
        """Set the listed endpoints, with the region of each."""
        for node, region in region_by_node.items():
            endpoint = self._endpoints.get(node)
            if endpoint is None or endpoint.region != region:
                self._endpoints[node] = EndpointActivity(node, region)
                self._recovery_order[node] = self._random.random()
        for node in [node for node in self._endpoints if node not in region_by_node]:
            del self._endpoints[node]

    # Events of attempts and probes

    def on_attempt_sent(self, now_us: int, node: str, key: AttemptKey) -> None:
        """Record that an attempt was sent."""
        endpoint = self._endpoints.get(node)
        if endpoint is None:
            return
        endpoint.pending_since_us[key] = now_us
        link = self.links.get(endpoint.region)
        if link is None:
            return
        is_additional = key[1] > 0
        link.crossed_count += 1
        link.additional_crossed_count += is_additional
        self.crossing_budget.record(now_us, link.route.cost, is_additional=is_additional)

    def on_attempt_ended(
        self, now_us: int, node: str, key: AttemptKey, outcome: str, duration_us: int
    ) -> None:
        """Record the end of an attempt; a cancelled one is no evidence."""
        endpoint = self._endpoints.get(node)
        if endpoint is None:
            return
        endpoint.pending_since_us.pop(key, None)
        if outcome in FAILURES:
            endpoint.last_failed_at_us = now_us
        elif outcome in RESPONSES:
            endpoint.last_ok_at_us = now_us
            endpoint.pending_since_us.pop(PROBE, None)
            if outcome == Outcome.OK:
                self._record_latency(now_us, self.links.get(endpoint.region), duration_us)

    def _record_latency(self, now_us: int, link: RegionLink | None, duration_us: int) -> None:
        if link is not None:
            link.latencies_us.append(duration_us)
            link.ok_count += 1
            return
        gain = LATENCY_GAIN if self._home_latency_us else 1.0
        self._home_latency_us += (duration_us - self._home_latency_us) * gain
        self._home_ok_at_us = now_us
        self._home_latencies_us.append(duration_us)

    def on_late_answer(self, now_us: int, node: str) -> None:
        """Record an answer after its attempt's end; from enough endpoints these show that the link is up."""
        endpoint = self._endpoints.get(node)
        link = self.links.get(endpoint.region) if endpoint is not None else None
        if endpoint is None or link is None:
            return
        endpoint.last_ok_at_us = now_us
        endpoint.pending_since_us.pop(PROBE, None)
        link.late_answer_at_us[node] = now_us
        late_count = sum(at_us > link.since_us for at_us in link.late_answer_at_us.values())
        if link.state == LinkState.DOWN and late_count >= LATE_ENDPOINTS:
            self._enter(now_us, link, LinkState.SLOW, "answers come over it after their time")

    def on_probe_ended(self, now_us: int, node: str, outcome: str) -> None:
        """Record the end of a probe that :meth:`tick` requested."""
        endpoint = self._endpoints.get(node)
        link = self.links.get(endpoint.region) if endpoint is not None else None
        if endpoint is None or link is None:
            return
        sent_at_us = link.probe_sent_at_us.pop(node, None)
        if outcome == Outcome.TIMED_OUT and PROBE in endpoint.pending_since_us:
            # The answer may still arrive over a slow link: the endpoint is silent since the probe was sent.
            return
        endpoint.pending_since_us.pop(PROBE, None)
        if outcome != Outcome.OK:
            endpoint.last_failed_at_us = now_us
            return
        endpoint.last_ok_at_us = now_us
        if link.state == LinkState.SLOW and sent_at_us is not None:
            self._count_quick_probe(now_us, link, now_us - sent_at_us)
        elif link.state == LinkState.DOWN:
            link.recovery_step = 0
            link.recovery_step_at_us = now_us
            link.ok_count = 0
            self._enter(now_us, link, LinkState.HALF_OPEN, f"probe of {node} answered")

    def _count_quick_probe(self, now_us: int, link: RegionLink, duration_us: int) -> None:
        """Open a slow link after enough fast probes in a row."""
        is_quick = duration_us < FAST_FRACTION * self._shortest_objective_us + link.route.round_trip_us
        link.quick_probe_count = link.quick_probe_count + 1 if is_quick else 0
        if link.quick_probe_count >= QUICK_PROBES:
            # The evidence is part of event records, so its wording must not change.
            evidence = f"{QUICK_PROBES} probes in a row back within {FAST_FRACTION:g} of an aim"
            self._enter(now_us, link, LinkState.OPEN, evidence)

    # Periodic update

    def tick(self, now_us: int) -> list[str]:
        """Update the states of the links by the evidence so far, and return the endpoints to probe."""
        if not self._detects_link_faults:
            return []
        return [node for link in self.links.values() for node in self._update_link(now_us, link)]

    def _update_link(self, now_us: int, link: RegionLink) -> list[str]:
        endpoints = [endpoint for endpoint in self._endpoints.values() if endpoint.region == link.region]
        nodes_to_probe: list[str] = []
        if link.state != LinkState.DOWN:
            home = HomeHealth(self._home_latency_us, self._home_ok_at_us)
            failure = find_correlated_failure(now_us, link, endpoints, home)
            if failure is not None:
                self._on_correlated_failure(now_us, link, failure)
                return []
            if link.state != LinkState.HALF_OPEN:
                nodes_to_probe += self._probe_on_suspicion(now_us, link, endpoints)
        # Slow links are probed too, as deprioritized endpoints get too few attempts to measure the link by.
        if link.state in (LinkState.DOWN, LinkState.SLOW) and now_us >= link.trial_at_us:
            nodes_to_probe += self._start_trial(now_us, link, endpoints)
        elif link.state == LinkState.HALF_OPEN and now_us >= link.recovery_step_at_us + RECOVERY_STEP_US:
            self._advance_recovery(now_us, link, endpoints)
        if link.state in (LinkState.OPEN, LinkState.SLOW):
            self._compare_latency(now_us, link)
        return nodes_to_probe

    def _on_correlated_failure(self, now_us: int, link: RegionLink, failure: CorrelatedFailure) -> None:
        if failure.is_silence and link.state == LinkState.OPEN:
            # After such a short silence the link may only be slow: it is down only if the silence lasts.
            link.suspected_at_us = now_us - SUSPICION_INTERVAL_US
            self._enter(now_us, link, LinkState.SLOW, failure.evidence)
            return
        if link.state != LinkState.HALF_OPEN and not link.is_flapping(now_us):
            link.fell_at_us.append(now_us)
            if link.fell_repeatedly_within(now_us, FLAP_WINDOW_US):
                # Excluding the endpoints repeatedly would cost more than the delays by a flapping link.
                link.late_answer_at_us.clear()
                evidence = f"{FLAP_FALLS} falls within {FLAP_WINDOW_US // 1_000_000} s: it flaps"
                self._enter(now_us, link, LinkState.SLOW, evidence)
                return
        if link.state == LinkState.HALF_OPEN:
            link.trial_interval_us = min(2 * link.trial_interval_us, MAXIMUM_TRIAL_INTERVAL_US)
        else:
            link.trial_interval_us = FIRST_TRIAL_INTERVAL_US
        link.trial_at_us = now_us + self._jittered_us(link.trial_interval_us)
        self._enter(now_us, link, LinkState.DOWN, failure.evidence)

    def _probe_on_suspicion(
        self, now_us: int, link: RegionLink, endpoints: Sequence[EndpointActivity]
    ) -> list[str]:
        """Return endpoints to probe if one is silent, to find out whether it is the only one.

        A pending probe counts like a pending attempt, as there may be too few attempts to detect a fault by.
        """
        is_too_early = now_us - link.suspected_at_us < SUSPICION_INTERVAL_US
        if is_too_early or not has_silent_endpoint(now_us, endpoints):
            return []
        link.suspected_at_us = now_us
        nodes = self._sample_nodes(endpoints, SUSPICION_ENDPOINTS)
        link.probe_sent_at_us.update(dict.fromkeys(nodes, now_us))
        for node in nodes:
            pending_since_us = self._endpoints[node].pending_since_us
            if pending_since_us.get(PROBE, 0) < link.since_us:
                pending_since_us[PROBE] = now_us
        return nodes

    def _start_trial(self, now_us: int, link: RegionLink, endpoints: Sequence[EndpointActivity]) -> list[str]:
        nodes = self._sample_nodes(endpoints, TRIAL_ENDPOINTS)
        link.probe_sent_at_us = dict.fromkeys(nodes, now_us)
        link.trial_interval_us = min(2 * link.trial_interval_us, MAXIMUM_TRIAL_INTERVAL_US)
        link.trial_at_us = now_us + self._jittered_us(link.trial_interval_us)
        return nodes

    def _sample_nodes(self, endpoints: Sequence[EndpointActivity], count: int) -> list[str]:
        nodes = [endpoint.node for endpoint in endpoints]
        return self._random.sample(nodes, min(count, len(nodes)))

    def _advance_recovery(self, now_us: int, link: RegionLink, endpoints: Sequence[EndpointActivity]) -> None:
        if link.recovery_step + 1 >= len(RECOVERY_FRACTIONS):
            link.trial_interval_us = FIRST_TRIAL_INTERVAL_US
            self._enter(now_us, link, LinkState.OPEN, f"{link.ok_count} answers since the first probe")
        elif link.ok_count or not any(endpoint.pending_since_us for endpoint in endpoints):
            link.recovery_step += 1
            link.recovery_step_at_us = now_us

    def _compare_latency(self, now_us: int, link: RegionLink) -> None:
        """Compare the delay of a link with the home region, by the fastest answers, as endpoints differ."""
        if min(len(link.latencies_us), len(self._home_latencies_us)) < LATENCY_SAMPLES // 2:
            return
        difference_us = first_decile_us(link.latencies_us) - first_decile_us(self._home_latencies_us)
        extra_us = difference_us - link.route.round_trip_us
        evidence = f"its quickest answers take {extra_us // 1000} ms longer than home's"
        if link.state == LinkState.OPEN and extra_us > SLOW_FRACTION * self._shortest_objective_us:
            self._enter(now_us, link, LinkState.SLOW, evidence)
        elif link.state == LinkState.SLOW and extra_us < FAST_FRACTION * self._shortest_objective_us:
            self._enter(now_us, link, LinkState.OPEN, evidence)

    def _enter(self, now_us: int, link: RegionLink, state: LinkState, evidence: str) -> None:
        self._changes.append(LinkChange(link.region, state, evidence))
        link.state = state
        link.since_us = now_us
        link.evidence = evidence
        link.quick_probe_count = 0
        link.latencies_us.clear()  # Earlier latencies are no evidence for the new state.
        if state == LinkState.SLOW:
            link.trial_at_us = now_us + self._jittered_us(MAXIMUM_TRIAL_INTERVAL_US)

    def _jittered_us(self, interval_us: int) -> int:
        """Return an interval with jitter, so that the trials of brokers don't coincide."""
        return int(interval_us * self._random.uniform(*TRIAL_JITTER))

    # Results

    def take_changes(self) -> list[LinkChange]:
        """Return the changes of the links' states since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def restrictions(self, now_us: int) -> LinkRestrictions:
        """Return the endpoints that are restricted now."""
        is_budget_exhausted = self.crossing_budget.is_exhausted(now_us)
        deprioritized = set()
        excluded = set()
        for node, endpoint in self._endpoints.items():
            link = self.links.get(endpoint.region)
            if link is None:
                continue
            if self._is_excluded(node, link):
                excluded.add(node)
            elif link.state == LinkState.SLOW or self._prefers_home or is_budget_exhausted:
                deprioritized.add(node)
        return LinkRestrictions(frozenset(deprioritized), frozenset(excluded))

    def _is_excluded(self, node: str, link: RegionLink) -> bool:
        if link.state == LinkState.HALF_OPEN:
            return self._recovery_order[node] >= RECOVERY_FRACTIONS[link.recovery_step]
        return link.state == LinkState.DOWN
