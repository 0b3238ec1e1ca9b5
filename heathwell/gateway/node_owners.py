"""Interfaces by which connections report to their link, and links to the broker.

They keep the imports of the node modules free of cycles. Implemented by
:class:`heathwell.gateway.node_pool.NodeLink` and :class:`heathwell.gateway.broker.PlatformBroker`.
"""

from __future__ import annotations

from typing import Protocol

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey
from heathwell.codec import nodeframes as nf
from heathwell.eventloop import Loop, Net
from heathwell.gateway.client_memory import MemoryBudget
from heathwell.gateway.config import Connections
from heathwell.gateway.node_pool_limit import Connection, ConnectionPoolLimit


class AttemptOwner(Protocol):
    """Receives the results of attempts and probes; ``memory`` is charged what nodes don't read."""

    memory: MemoryBudget

    def on_attempt_result(
        self, node: str, key: AttemptKey, outcome: policy.Outcome, result: nf.PartAnswer | None
    ) -> None:
        """Called exactly once for each attempt; ``result`` is the node's answer, if it gave one."""

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """Called exactly once for each probe."""

    def on_late_answer(self, node: str) -> None:
        """Called for an answer to an attempt whose result was already reported."""


class ConnectionOwner(Protocol):
    """The attributes and methods of a link that its connections use."""

    loop: Loop
    net: Net
    node: str
    address: str
    owner: AttemptOwner
    limits: Connections
    pool_limit: ConnectionPoolLimit
    closing: bool
    late_answers: int
    invalid_answers: int
    closes_after_answer: int
    consecutive_closes: int

    @property
    def is_single_part(self) -> bool:
        """Whether each connection carries a single part at present."""

    @property
    def silence_timeout_us(self) -> int:
        """Time without a received byte after which a connection counts as silent."""

    def is_probe_pending(self, number: int) -> bool:
        """Whether a probe has no result yet."""

    def on_response(self, connection: Connection, sent_at_us: int) -> None:
        """Called when an attempt sent at ``sent_at_us`` was answered over ``connection``."""

    def on_attempt_ended(
        self, key: AttemptKey, outcome: policy.Outcome, result: nf.PartAnswer | None
    ) -> None:
        """Called when an attempt has ended on its connection."""

    def on_probe_ended(self, number: int, outcome: policy.Outcome) -> None:
        """Called when a probe has ended on its connection."""

    def on_connection_broken(self, keys: list[AttemptKey], probes: list[int]) -> None:
        """Called when a connection broke with these attempts and probes in flight."""

    def on_connection_closed(self, connection: Connection) -> None:
        """Called when a connection has closed, before the outcomes of what was in flight on it."""

    def log_info(self, event: str, reason: str) -> None:
        """Log one line about the node."""
