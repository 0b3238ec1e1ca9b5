"""A thread that offers requests to a population of clients, each at its time."""

from __future__ import annotations

import threading
import time
from collections.abc import Iterable
from typing import Final

from heathwell.testing.simulation.client_population import ClientPopulation
from heathwell.testing.simulation.scheduled_requests import ScheduledRequest

STOP_TIMEOUT_SECONDS: Final = 10


class LoadThread:
    """Starts the clients, and offers them requests until :meth:`stop`."""

    def __init__(self, clients: ClientPopulation, requests: Iterable[ScheduledRequest]) -> None:
        self.clients = clients
        self._stop = threading.Event()
        self._started_at_seconds = clients.start()
        self._thread = threading.Thread(target=self._offer, args=(requests,), daemon=True)
        self._thread.start()

    def _offer(self, requests: Iterable[ScheduledRequest]) -> None:
        for request in requests:
            if self._stop.wait(max(0.0, self._started_at_seconds + request.at_seconds - time.monotonic())):
                return
            self.clients.offer(request)

    def stop(self) -> None:
        """Offer no more requests, and wait for the replies to those that were sent."""
        self._stop.set()
        self._thread.join(STOP_TIMEOUT_SECONDS)
        self.clients.finish()
