"""Which connections are kept when there are too many. Pure.

An address has its own limit, so that one that opens sockets without end takes only its own. At the limit of
all, the address that holds the most gives up its longest idle one for an address that holds fewer; else the
new one is turned away. Connections at work are never closed for another.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable


class Doors:
    """Connections by number. ``most`` in all, ``most_an_address`` of one address (0: no limit of its own)."""

    def __init__(self, most: int, most_an_address: int = 0) -> None:
        self.most, self.most_an_address = most, most_an_address
        self.of: dict[str, OrderedDict[int, None]] = {}
        self.address: dict[int, str] = {}
        self.refused = self.closed_for = 0

    def opened(self, number: int, address: str, idle: Callable[[int], bool]) -> tuple[bool, int | None]:
        """A new connection: whether it may stay, and which other one is to be closed for it."""
        mine = self.of.get(address, OrderedDict())
        if self.most_an_address and len(mine) >= self.most_an_address:
            self.refused += 1
            return False, None
        victim: int | None = None
        if len(self.address) >= self.most:
            richest = max(self.of.values(), key=len)
            if len(richest) > len(mine) + 1:
                victim = next((other for other in richest if idle(other)), None)
            if victim is None:
                self.refused += 1
                return False, None
            self.closed_for += 1
            self.closed(victim)
        self.of.setdefault(address, mine)[number] = None
        self.address[number] = address
        return True, victim

    def used(self, number: int) -> None:
        """A connection asked for something."""
        address = self.address.get(number)
        if address is not None:
            self.of[address].move_to_end(number)

    def closed(self, number: int) -> None:
        """A connection is gone; unknown ones are let pass."""
        address = self.address.pop(number, None)
        if address is not None:
            del self.of[address][number]
            if not self.of[address]:
                del self.of[address]
