"""Topics that may come up once in an interval each, in bounded memory."""

from __future__ import annotations


class RateLimitedTopics:
    """Remembers when each topic last passed; from a number of topics on, those past their interval are
    dropped.
    """

    __slots__ = ("_passed_at_us", "interval_us", "prune_above")

    def __init__(self, interval_us: int, prune_above: int) -> None:
        self.interval_us = interval_us
        self.prune_above = prune_above
        self._passed_at_us: dict[str, int] = {}

    def __len__(self) -> int:
        """Topics that are remembered."""
        return len(self._passed_at_us)

    def admit(self, topic: str, now_us: int) -> bool:
        """Whether a topic may come up now; if so, its interval begins anew."""
        last_us = self._passed_at_us.get(topic)
        if last_us is not None and now_us - last_us < self.interval_us:
            return False
        if len(self._passed_at_us) >= self.prune_above:
            recent = {old: at for old, at in self._passed_at_us.items() if now_us - at < self.interval_us}
            self._passed_at_us = recent
        self._passed_at_us[topic] = now_us
        return True
