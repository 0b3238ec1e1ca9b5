"""What the connections of a simulated client share: broker addresses, results of attempts, constants."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

LATE_REPLY_SECONDS: Final = (
    0.5  # a client waits so much longer than its timeout, so that late replies are logged
)
RECONNECT_DELAY_SECONDS: Final = 0.05
NO_BROKER_DELAY_SECONDS: Final = 0.2


class AttemptKind(StrEnum):
    """How one attempt ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    BROKEN = "broken"
    NO_BROKER = "no broker"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt, and how long to wait before the next one."""

    kind: AttemptKind
    retry_after_seconds: float = 0.0
    is_complete: bool = False


TIMED_OUT: Final = AttemptResult(AttemptKind.LOST)
BROKEN: Final = AttemptResult(AttemptKind.BROKEN, RECONNECT_DELAY_SECONDS)
NO_BROKER: Final = AttemptResult(AttemptKind.NO_BROKER, NO_BROKER_DELAY_SECONDS)


@dataclass(frozen=True, slots=True)
class BrokerAddress:
    """A broker as clients find it; ``vector_search`` is empty where it serves no searches."""

    name: str
    memcached: str
    vector_search: str = ""


BrokerDirectory = Callable[[], Sequence[BrokerAddress]]
"""Returns the brokers that there are now."""


def in_rotation(brokers: Sequence[BrokerAddress], first: int) -> Iterator[BrokerAddress]:
    """Yield all brokers once, from the one whose turn it is."""
    for step in range(len(brokers)):
        yield brokers[(first + step) % len(brokers)]
