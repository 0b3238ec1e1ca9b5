"""When a broker that is cut off lets its clients go, so that they find one that is not. Pure.

Closing is all that memcached's protocol leaves to say unasked, so it is done to idle connections only, spread
by seed (all at once would be a herd at the other brokers), and once a cut: who comes back after the cut began
found no better broker, or the layer in front sends it here all the same; it is served what there is, and
refused the rest with advice.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

SURE_US = 1_000_000  # cut off for so long before any client is let go: half-open steps come back within it
WHOLE_US = 3_000_000  # reached again for so long before the next cut is a new one


class ClientDrain:
    """Draws each client's time to go. ``over_us`` is the time that all are spread over; 0 keeps
    every client.
    """

    def __init__(self, over_us: int, seed: int) -> None:
        self.over = over_us
        self.random = random.Random(seed)
        self.cut_since = self.whole_since = -1
        self.let_go = 0
        self._due: dict[int, int] = {}

    def look(self, now: int, cut_off: bool) -> None:
        """What the broker makes of itself now."""
        if not self.over:
            return
        if cut_off:
            self.whole_since = -1
            if self.cut_since < 0:
                self.cut_since = now
        elif self.cut_since >= 0:
            if self.whole_since < 0:
                self.whole_since = now
            if now - self.whole_since >= WHOLE_US:
                self.cut_since = -1
                self._due.clear()

    @property
    def cut(self) -> bool:
        """Whether clients are being let go."""
        return self.cut_since >= 0 and self.whole_since < 0

    def due(self, now: int, idle: Iterable[tuple[int, int]]) -> Sequence[int]:
        """The clients to be closed now, of the idle ones (number, connected since)."""
        if not self.cut or now < self.cut_since + SURE_US:
            return ()
        out = []
        for client, since in idle:
            if since >= self.cut_since:
                continue
            if client not in self._due:
                self._due[client] = self.cut_since + SURE_US + int(self.random.random() * self.over)
            if self._due[client] <= now:
                out.append(client)
                del self._due[client]
        self.let_go += len(out)
        return out
