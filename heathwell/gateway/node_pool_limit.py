"""The limit on connections to nodes that all links of a broker share.

:class:`ConnectionPoolLimit` owns the count and the order of idle connections. Imports nothing of the project.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol


class Connection(Protocol):
    """A connection that can be closed for another one."""

    def close(self) -> None:
        """Close at once, and release its place."""


class ConnectionPoolLimit:
    """The number of connections to nodes, over all links, that may be open: ``capacity``.

    Where it is reached the connection that has been idle longest is closed in favour of a new one.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.open = 0
        self.idle: OrderedDict[Connection, None] = OrderedDict()

    def acquire(self) -> bool:
        """Reserve one connection; false if all are open and none is idle."""
        if self.open >= self.capacity and self.idle:
            next(iter(self.idle)).close()
        if self.open >= self.capacity:
            return False
        self.open += 1
        return True

    def release(self, connection: Connection) -> None:
        """Give back the place of a connection that closed."""
        self.open -= 1
        self.mark_busy(connection)

    def mark_idle(self, connection: Connection) -> None:
        """Make a connection the latest of those that may be closed for a new one."""
        self.idle[connection] = None
        self.idle.move_to_end(connection)

    def mark_busy(self, connection: Connection) -> None:
        """Exempt a connection from being closed for a new one."""
        self.idle.pop(connection, None)
