"""A rate limit of one event per topic and interval, in bounded memory."""

from __future__ import annotations


class RateLimitedTopics:
    """Admits each topic once per interval.

    When ``prune_above`` topics are stored, those whose interval has passed are dropped.
    """

    __slots__ = ("_admitted_at_us", "interval_us", "prune_above")

    def __init__(self, interval_us: int, prune_above: int) -> None:
        self.interval_us = interval_us
        self.prune_above = prune_above
        self._admitted_at_us: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of stored topics."""
        return len(self._admitted_at_us)

    def admit(self, topic: str, now_us: int) -> bool:
        """Return whether a topic is admitted now; if so, its interval begins again."""
        last_us = self._admitted_at_us.get(topic)
        if last_us is not None and now_us - last_us < self.interval_us:
            return False
        if len(self._admitted_at_us) >= self.prune_above:
            recent = {
                stored: at_us
                for stored, at_us in self._admitted_at_us.items()
                if now_us - at_us < self.interval_us
            }
            self._admitted_at_us = recent
        self._admitted_at_us[topic] = now_us
        return True
