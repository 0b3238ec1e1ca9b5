"""The numbers of a simulated client's requests."""

from __future__ import annotations


class RequestNumbers:
    """Counts the requests of one client over all its connections."""

    def __init__(self, client_number: int) -> None:
        self.client_number = client_number
        self.client_name = f"client{client_number}"
        self._count = 0

    def next(self) -> str:
        """Return the name of the next request."""
        self._count += 1
        return f"{self.client_name}:{self._count}"
