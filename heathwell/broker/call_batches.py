"""Grouping of the attempt requests of one batch of actions into calls to endpoints."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic

from heathwell.broker.driver_contract import AttemptKey, RequestT


@dataclass(frozen=True, slots=True)
class OutgoingCall(Generic[RequestT]):
    """The attempt requests that go to an endpoint in one call."""

    node: str
    requests: list[RequestT]


class CallBatches(Generic[RequestT]):
    """The calls to make at the end of a batch, each of at most ``requests_per_call`` requests."""

    def __init__(self, requests_per_call: int) -> None:
        self._requests_per_call = requests_per_call
        self._calls: dict[str, list[list[RequestT]]] = {}

    def add(self, node: str, request: RequestT) -> None:
        """Add a request to the last call to an endpoint, or to a new call if that one is full."""
        calls = self._calls.setdefault(node, [])
        if not calls or len(calls[-1]) >= self._requests_per_call:
            calls.append([])
        calls[-1].append(request)

    def remove(self, node: str, key: AttemptKey) -> bool:
        """Remove the request of an attempt; return false if there is none."""
        for requests in self._calls.get(node, []):
            for request in requests:
                if (request.id, request.seq) == key:
                    requests.remove(request)
                    return True
        return False

    def __iter__(self) -> Iterator[OutgoingCall[RequestT]]:
        """Return the calls, grouped by node."""
        for node, calls in self._calls.items():
            for requests in calls:
                yield OutgoingCall(node, requests)
