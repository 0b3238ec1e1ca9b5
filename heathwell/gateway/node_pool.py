"""The pool of connections from one broker to one node.

A :class:`NodeLink` owns its connections and selects one for each call; it reports every attempt and probe
exactly once to its owner. Imports :mod:`heathwell.gateway.node_connection`, never the broker.

If a node closes a connection right after an answer, all other attempts in flight on it are lost. While a node
does so, each connection carries a single part at a time, and is reused only if it stays open after the
answer.
"""

from __future__ import annotations

from collections.abc import Callable

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey
from heathwell.codec import nodeframes as nf
from heathwell.eventloop import Loop, Net, Timer
from heathwell.gateway.config import Connections
from heathwell.gateway.node_attempts import NodeRequest
from heathwell.gateway.node_connection import NodeConnection
from heathwell.gateway.node_owners import AttemptOwner
from heathwell.gateway.node_pool_limit import Connection, ConnectionPoolLimit

# A connection gets no more attempts after this multiple of the mean response time without a received byte.
SILENCE_FACTOR = 4
MIN_SILENCE_TIMEOUT_US = 40_000
MAX_SILENCE_TIMEOUT_US = 1_000_000
RESPONSE_TIME_GAIN = 0.1  # weight of one answer in the moving average of a node's response time
MAX_CONNECTIONS = 4  # limit of the connections to one node
MAX_SINGLE_PART_CONNECTIONS = 16  # the same for a node whose connections carry a single part each
# Connections carry a single part each once the node has closed this many in a row right after an answer.
SINGLE_PART_AFTER_CLOSES = 3


class NodeLink:
    """The connections of one broker to one node."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        node: str,
        address: str,
        owner: AttemptOwner,
        limits: Connections,
        pool_limit: ConnectionPoolLimit,
        log: Callable[..., None],
    ) -> None:
        self.loop = loop
        self.net = net
        self.node = node
        self.address = address
        self.owner = owner
        self.limits = limits
        self.pool_limit = pool_limit
        self.log = log
        self.connections: list[NodeConnection] = []
        self.in_flight: dict[AttemptKey, NodeConnection] = {}
        self.late_answers = 0
        self.invalid_answers = 0
        self.connects = 0
        self.breaks = 0
        self.closes_after_answer = 0  # connections that the node closed right after an answer
        self.consecutive_closes = 0  # such connections in a row
        self.closing = False
        self._mean_response_us = float(MIN_SILENCE_TIMEOUT_US)
        self._probe_timers: dict[int, Timer] = {}
        self._last_probe = 0

    def statistics(self) -> dict[str, int]:
        """Return the counters since the start, by the names that the trace prints."""
        return {
            "connects": self.connects,
            "breaks": self.breaks,
            "late": self.late_answers,
            "spoilt": self.invalid_answers,
            "ended_soon": self.closes_after_answer,
        }

    @property
    def up(self) -> bool:
        """Whether a connection is established."""
        return any(connection.stream is not None for connection in self.connections)

    @property
    def is_single_part(self) -> bool:
        """Whether each connection carries a single part at present."""
        return self.consecutive_closes >= SINGLE_PART_AFTER_CLOSES

    @property
    def silence_timeout_us(self) -> int:
        """Time without a received byte after which a connection counts as silent."""
        timeout_us = max(SILENCE_FACTOR * self._mean_response_us, MIN_SILENCE_TIMEOUT_US)
        return int(min(timeout_us, MAX_SILENCE_TIMEOUT_US))

    def send(self, requests: list[NodeRequest]) -> None:
        """Send attempts in one call; each has exactly one outcome."""
        if not requests:
            return
        connection = self._select([request.id for request in requests])
        if connection is None:
            for request in requests:
                self.loop.call_soon(
                    self.owner.on_attempt_result,
                    self.node,
                    request.key,
                    policy.Outcome.UNREACHABLE,
                    None,
                )
            return
        for request in requests:
            self.in_flight[request.key] = connection
        connection.send(requests)

    def abandon(self, key: AttemptKey) -> bool:
        """Stop waiting for an attempt whose outcome the owner has set; return whether it was in flight."""
        connection = self.in_flight.pop(key, None)
        if connection is None:
            return False
        connection.abandon(key[0])
        return True

    def withdraw(self, key: AttemptKey) -> bool:
        """Abandon an attempt of which nothing was written; return whether it was abandoned.

        It is not if it is not in flight or was written, even partly.
        """
        connection = self.in_flight.get(key)
        return connection is not None and connection.is_unsent(key[0]) and self.abandon(key)

    def withdraw_unsent(self) -> None:
        """Report all unsent attempts as never sent, as the node accepts no new ones, moved or restarted."""
        for key, connection in list(self.in_flight.items()):
            if connection.is_unsent(key[0]):
                del self.in_flight[key]
                connection.abandon(key[0])
                self.owner.on_attempt_result(self.node, key, policy.Outcome.NEVER_SENT, None)

    def probe(self) -> None:
        """Probe the node over a connection that is not silent; the probe has exactly one outcome."""
        self._last_probe += 1
        number = self._last_probe
        timeout_at_us = self.loop.now() + self.limits.connect_us
        self._probe_timers[number] = self.loop.call_at(
            timeout_at_us, self.on_probe_ended, number, policy.Outcome.TIMED_OUT
        )
        connection = self._select([])
        if connection is None:
            self.loop.call_soon(self.on_probe_ended, number, policy.Outcome.UNREACHABLE)
        else:
            connection.probe(number)

    def set_address(self, address: str) -> None:
        """Connect to another address from now on; attempts that were written to the old one continue."""
        if address != self.address:
            self.address = address
            self._retire(self.connections)
            self.withdraw_unsent()

    def on_endpoint_removed(self) -> None:
        """Called when the node was removed from the endpoint list: close once nothing is in flight."""
        self.withdraw_unsent()
        self._retire(self.connections)

    def close(self) -> None:
        """Close all connections; attempts in flight end as broken."""
        self.closing = True
        for connection in list(self.connections):
            connection.close()

    # Called by the connections.

    def is_probe_pending(self, number: int) -> bool:
        """Whether a probe has no result yet."""
        return number in self._probe_timers

    def on_response(self, connection: Connection, sent_at_us: int) -> None:
        """Called when an attempt sent at ``sent_at_us`` was answered over ``connection``."""
        response_us = self.loop.now() - sent_at_us
        self._mean_response_us += (response_us - self._mean_response_us) * RESPONSE_TIME_GAIN
        for other in list(self.connections):
            if other is not connection:
                other.close_if_outlived(sent_at_us)

    def on_attempt_ended(
        self, key: AttemptKey, outcome: policy.Outcome, result: nf.PartAnswer | None
    ) -> None:
        """Called when an attempt has ended on its connection; ignored if it was abandoned."""
        if self.in_flight.pop(key, None) is not None:
            self.owner.on_attempt_result(self.node, key, outcome, result)

    def on_probe_ended(self, number: int, outcome: policy.Outcome) -> None:
        """Called when a probe has ended or timed out; only its first outcome is reported."""
        timer = self._probe_timers.pop(number, None)
        if timer is not None:
            timer.cancel()
            self.owner.on_probe_result(self.node, outcome)

    def on_connection_broken(self, keys: list[AttemptKey], probes: list[int]) -> None:
        """Called when a connection broke with these in flight; a new connect decides their outcome."""
        if not keys and not probes:
            return
        self.breaks += 1
        connection = self._open()
        if connection is None:
            for key in keys:
                self.on_attempt_ended(key, policy.Outcome.BROKEN, None)
            for number in probes:
                self.on_probe_ended(number, policy.Outcome.BROKEN)
            return
        for key in keys:
            self.in_flight[key] = connection
            connection.orphaned[key[0]] = key
        for number in probes:
            connection.probe(number)

    def on_connection_closed(self, connection: Connection) -> None:
        """Called when a connection has closed, before the outcomes of what was in flight on it."""
        self.connections[:] = [other for other in self.connections if other is not connection]

    def log_info(self, event: str, reason: str) -> None:
        """Log one line with the node and the number of attempts in flight."""
        self.log("info", event, node=self.node, why=reason, out=len(self.in_flight))

    # The pool.

    def _select(self, part_ids: list[str]) -> NodeConnection | None:
        """Return a connection for these parts, a new one if no open one can carry them, else ``None``."""
        self._retire([connection for connection in self.connections if connection.is_silent])
        for connection in self.connections:
            if all(connection.can_carry(part_id) for part_id in part_ids) and not connection.retired:
                return connection
        opened = self._open()
        if opened is not None:
            return opened
        # All connections have as many parts as the node processes at once: the parts queue on one of them.
        usable = [c for c in self.connections if all(c.is_unused_id(part_id) for part_id in part_ids)]
        return min(usable, key=lambda c: len(c.in_flight), default=None)

    def _open(self) -> NodeConnection | None:
        capacity = MAX_SINGLE_PART_CONNECTIONS if self.is_single_part else MAX_CONNECTIONS
        if len(self.connections) >= capacity or not self.pool_limit.acquire():
            return None
        self.connects += 1
        connection = NodeConnection(self)
        self.connections.append(connection)
        return connection

    def _retire(self, connections: list[NodeConnection]) -> None:
        for connection in list(connections):
            connection.retired = True
            if not connection.in_flight:
                connection.close()
