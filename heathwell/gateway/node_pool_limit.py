"""The limit on connections to nodes, which all links of a broker share.

:class:`ConnectionPoolLimit` owns the count and the order of idle connections. Imports nothing of the project.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol


class Connection(Protocol):
    """A connection that can be closed in favour of another one."""

    def close(self) -> None:
        """Close at once, which releases the connection's place in the pool."""


class ConnectionPoolLimit:
    """Limits the connections to nodes, over all links, to ``capacity``.

    At the limit, the connection that has been idle for longest is closed in favour of a new one.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.open = 0
        self.idle: OrderedDict[Connection, None] = OrderedDict()

    def acquire(self) -> bool:
        """Reserve the place of one connection; return false if the limit is reached and none is idle."""
        if self.open >= self.capacity and self.idle:
            next(iter(self.idle)).close()
        if self.open >= self.capacity:
            return False
        self.open += 1
        return True

    def release(self, connection: Connection) -> None:
        """Release the place of a closed connection."""
        self.open -= 1
        self.mark_busy(connection)

    def mark_idle(self, connection: Connection) -> None:
        """Allow a connection to be closed for a new one, after those that became idle earlier."""
        self.idle[connection] = None
        self.idle.move_to_end(connection)

    def mark_busy(self, connection: Connection) -> None:
        """Don't allow a connection to be closed for a new one."""
        self.idle.pop(connection, None)
