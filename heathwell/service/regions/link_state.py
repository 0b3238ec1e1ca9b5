"""The state of links to other regions and of the endpoints behind them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

FLAP_FALLS = 2  # A link that goes down this many times within :data:`FLAP_WINDOW_US` is flapping.
FLAP_WINDOW_US = 10_000_000
LATENCY_SAMPLES = 32  # The number of latest answers by which the delay of a link is measured.
FIRST_TRIAL_INTERVAL_US = 500_000
SUSPICION_INTERVAL_US = 1_000_000  # The minimum interval between two suspicions of one link.
NEVER_AT_US = -1

AttemptKey = tuple[str, int]  # The id of a part and the number of the attempt.
PROBE: AttemptKey = ("probe", 0)


class LinkState(StrEnum):
    """The state of a link as observed by one broker."""

    OPEN = "open"
    SLOW = "slow"
    DOWN = "down"
    HALF_OPEN = "half"


@dataclass(frozen=True, slots=True)
class RegionRoute:
    """The configured route to a region: its expected round trip (us) and the cost of a part that crosses."""

    round_trip_us: int = 0
    cost: float = 1.0


@dataclass(frozen=True, slots=True)
class LinkChange:
    """A change of state of the link to a region, with a description of the evidence."""

    region: str
    state: LinkState
    evidence: str


@dataclass(frozen=True, slots=True)
class LinkRestrictions:
    """``deprioritized`` endpoints are used only if no other can serve a part, ``excluded`` ones never."""

    deprioritized: frozenset[str]
    excluded: frozenset[str]


@dataclass(slots=True)
class EndpointActivity:
    """The last results of one endpoint, and the time when each of its pending attempts was sent."""

    node: str
    region: str
    last_ok_at_us: int = NEVER_AT_US
    last_failed_at_us: int = NEVER_AT_US
    pending_since_us: dict[AttemptKey, int] = field(default_factory=dict)


@dataclass(slots=True)
class RegionLink:
    """One link as observed by this broker; ``evidence`` describes for the log why it is in its state."""

    region: str
    state: LinkState = LinkState.OPEN
    since_us: int = 0
    evidence: str = ""
    trial_at_us: int = 0
    trial_interval_us: int = FIRST_TRIAL_INTERVAL_US
    recovery_step: int = 0
    recovery_step_at_us: int = 0
    ok_count: int = 0
    latencies_us: deque[int] = field(default_factory=lambda: deque(maxlen=LATENCY_SAMPLES))
    crossed_count: int = 0
    additional_crossed_count: int = 0
    route: RegionRoute = field(default_factory=RegionRoute)
    late_answer_at_us: dict[str, int] = field(default_factory=dict)
    probe_sent_at_us: dict[str, int] = field(default_factory=dict)
    quick_probe_count: int = 0
    suspected_at_us: int = -SUSPICION_INTERVAL_US
    fell_at_us: deque[int] = field(default_factory=lambda: deque(maxlen=FLAP_FALLS))

    def fell_repeatedly_within(self, now_us: int, window_us: int) -> bool:
        """Return whether the link went down :data:`FLAP_FALLS` times within a window."""
        return len(self.fell_at_us) == FLAP_FALLS and now_us - self.fell_at_us[0] < window_us

    def is_flapping(self, now_us: int) -> bool:
        """Return whether the link went down repeatedly within twice :data:`FLAP_WINDOW_US`."""
        return self.fell_repeatedly_within(now_us, 2 * FLAP_WINDOW_US)
