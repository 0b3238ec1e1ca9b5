"""Limits the number of connections, in total and for each address, without any I/O.

An address that keeps opening connections is stopped by the limit for one address. At the total limit, the
connection that has been idle longest is evicted from the address with the most connections, if the new
connection is from an address with clearly fewer; otherwise the new connection is rejected. A connection with
a request in progress is never evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionVerdict:
    """Whether a connection is admitted, and the number of the connection to close for it, if any."""

    is_admitted: bool
    evicted: int | None = None


REJECTED = ConnectionVerdict(is_admitted=False)


class ConnectionLimiter:
    """Connections by number: ``maximum`` in total, ``maximum_per_address`` for an address (0: no limit)."""

    def __init__(self, maximum: int, maximum_per_address: int = 0) -> None:
        self.rejected_count = 0
        self.evicted_count = 0
        self._maximum = maximum
        self._maximum_per_address = maximum_per_address
        self._numbers_by_address: dict[str, OrderedDict[int, None]] = {}
        self._address_by_number: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._address_by_number)

    def admit(self, number: int, address: str, is_idle: Callable[[int], bool]) -> ConnectionVerdict:
        """Decide on a new connection, and record it if it is admitted."""
        own_numbers = self._numbers_by_address.get(address, OrderedDict())
        if self._maximum_per_address and len(own_numbers) >= self._maximum_per_address:
            self.rejected_count += 1
            return REJECTED
        evicted: int | None = None
        if len(self) >= self._maximum:
            evicted = self._find_evictable(len(own_numbers), is_idle)
            if evicted is None:
                self.rejected_count += 1
                return REJECTED
            self.evicted_count += 1
            self.on_closed(evicted)
        self._numbers_by_address.setdefault(address, own_numbers)[number] = None
        self._address_by_number[number] = address
        return ConnectionVerdict(is_admitted=True, evicted=evicted)

    def _find_evictable(self, own_count: int, is_idle: Callable[[int], bool]) -> int | None:
        """Return the connection to evict from the address with the most, or None.

        This is the one idle longest, if the address has clearly more connections than ``own_count``.
        """
        most_numbers = max(self._numbers_by_address.values(), key=len)
        if len(most_numbers) <= own_count + 1:
            return None
        return next((number for number in most_numbers if is_idle(number)), None)

    def on_request(self, number: int) -> None:
        """Record a request on a connection."""
        address = self._address_by_number.get(number)
        if address is not None:
            self._numbers_by_address[address].move_to_end(number)

    def on_closed(self, number: int) -> None:
        """Record that a connection is closed; unknown numbers are ignored."""
        address = self._address_by_number.pop(number, None)
        if address is not None:
            del self._numbers_by_address[address][number]
            if not self._numbers_by_address[address]:
                del self._numbers_by_address[address]
