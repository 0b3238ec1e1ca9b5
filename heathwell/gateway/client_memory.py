"""The memory that all clients together may make a broker hold, divided from its limit of memory.

:class:`MemoryBudget` is the one owner of that memory: whoever holds bytes for a client charges it, and reads
or accepts no more where nothing is left. A connection's first bytes are part of the place that it has, so
that small requests are read and answered whatever other clients hold. The module does no I/O and reads no
clock; imports nothing of the project.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

BYTES_PER_MB = 1 << 20
# The part of the memory above that of the idle process that clients may use. The rest is for connections to
# nodes, the decision module's tables, the list of nodes, and what the allocator can't use again.
CLIENT_FRACTION = 0.75
# Bytes of unfinished requests, pipelined requests and unsent responses that each connection may always hold.
PLACE_BYTES = 4_096
CONNECTION_BYTES = 6_144  # objects of one connection
# The least that connections share; there are fewer connections where the limit would leave less.
MIN_SHARED_BYTES = 2 * BYTES_PER_MB
MIN_CONNECTIONS = 16
QUERY_BYTES = 4_096  # objects of one query, besides its text
PART_BYTES = 4_096  # objects of one part of a query with its attempts
# Fractions of the shared memory up to which requests beyond their places are read, and queries with a long
# text are accepted. The rest is for the queries of other clients.
READ_FRACTION = 0.5
LONG_QUERY_FRACTION = 0.75


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """How many connections clients may have, and the bytes that these share beside their places."""

    connections: int
    shared_bytes: int


def client_limits(memory_bytes: int, process_bytes: int, max_connections: int) -> ClientLimits:
    """Divide a process's limit of memory.

    ``process_bytes`` is what the process occupies without clients, ``max_connections`` what the descriptors
    allow. The places of all connections and the shared bytes together stay within ``CLIENT_FRACTION`` of
    what is left, down to ``MIN_CONNECTIONS`` and ``MIN_SHARED_BYTES``.
    """
    available_bytes = int(max(0, memory_bytes - process_bytes) * CLIENT_FRACTION)
    connection_bytes = CONNECTION_BYTES + PLACE_BYTES
    affordable = (available_bytes - MIN_SHARED_BYTES) // connection_bytes
    connections = min(max_connections, max(affordable, MIN_CONNECTIONS))
    shared_bytes = max(available_bytes - connections * connection_bytes, MIN_SHARED_BYTES)
    return ClientLimits(connections, shared_bytes)


class MemoryBudget:
    """Shared bytes that clients make the broker hold, and who waits for some of them."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self._waiting: OrderedDict[Callable[[], None], None] = OrderedDict()

    @property
    def can_read(self) -> bool:
        """Whether connections may read beyond the bytes of their own places."""
        return self.used_bytes < self.limit_bytes * READ_FRACTION

    def can_accept(self, query_bytes: int, *, is_long: bool) -> bool:
        """Whether a query may be accepted; ``is_long`` is whether its text exceeds a connection's place."""
        fraction = LONG_QUERY_FRACTION if is_long else 1.0
        return self.used_bytes + query_bytes <= self.limit_bytes * fraction

    @property
    def is_awaited(self) -> bool:
        """Whether a connection waits until it may read."""
        return bool(self._waiting)

    def charge(self, change_bytes: int) -> None:
        """Add to what is held, or give back (less than 0)."""
        self.used_bytes += change_bytes
        if change_bytes < 0:
            self._wake_next()

    def wait(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` once it may be possible to read; whoever waits for longest is called first.

        Who was called calls :meth:`stop_waiting` before it reads, which lets the next one go on.
        """
        self._waiting[wake] = None

    def stop_waiting(self, wake: Callable[[], None]) -> None:
        """End a wait, whether or not ``wake`` was called."""
        self._waiting.pop(wake, None)
        self._wake_next()

    def _wake_next(self) -> None:
        if self._waiting and self.can_read:
            wake, _ = self._waiting.popitem(last=False)
            wake()


class ConnectionMemory:
    """What one connection holds; it charges the budget for what exceeds the connection's place.

    A request that is longer than the place reserves its whole length. Without that, many of them could each
    hold a part of the shared bytes, and none be completed.
    """

    def __init__(self, budget: MemoryBudget, place_bytes: int = PLACE_BYTES) -> None:
        self.budget = budget
        self.held_bytes = 0
        self.reserved_bytes = 0
        self._place_bytes = place_bytes

    @property
    def free_bytes(self) -> int:
        """What is left of the connection's place."""
        return max(0, self._place_bytes - self.held_bytes)

    @property
    def shared_bytes(self) -> int:
        """The bytes beyond the connection's place."""
        return max(0, max(self.held_bytes, self.reserved_bytes) - self._place_bytes)

    def resize(self, held_bytes: int) -> None:
        """State how many bytes the connection holds now."""
        self._set(held_bytes, self.reserved_bytes)

    def reserve(self, size_bytes: int) -> bool:
        """Reserve the memory of a request and return True, or return False where it has to wait."""
        if not self.budget.can_read:
            return False
        self._set(self.held_bytes, size_bytes)
        return True

    def release(self) -> None:
        """End the reservation."""
        self._set(self.held_bytes, 0)

    def _set(self, held_bytes: int, reserved_bytes: int) -> None:
        shared_before_bytes = self.shared_bytes
        self.held_bytes = held_bytes
        self.reserved_bytes = reserved_bytes
        change_bytes = self.shared_bytes - shared_before_bytes
        if change_bytes:
            self.budget.charge(change_bytes)


def query_memory(part_count: int, text_bytes: int) -> int:
    """Return the bytes that a query occupies until its last attempt has ended."""
    return QUERY_BYTES + part_count * PART_BYTES + text_bytes
