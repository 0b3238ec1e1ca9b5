"""Breaches of the six rules, and the verdict on a run.

The words of breaches are compared between versions, so that they stay as they are.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.testing.audit.reader import Event


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken rule: which, at which request, the evidence, and its places in the logs."""

    rule: int
    request: str
    text: str
    lines: tuple[str, ...]

    def __str__(self) -> str:
        return f"rule {self.rule}: {self.request}: {self.text} [{', '.join(self.lines)}]"


def breach_from(rule: int, request: str, text: str, *events: Event | None) -> Breach:
    """Return a breach with the places of those events that were logged."""
    return Breach(rule, request, text, tuple(event.location for event in events if event is not None))


@dataclass(slots=True)
class Verdict:
    """The result of a run. ``coldest`` is the most work that an endpoint in slow start got, as a fraction of
    what it bears.
    """

    breaches: list[Breach] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    coldest: float = 0.0

    @property
    def kept(self) -> bool:
        """Whether every rule was kept; a run without any query has kept none."""
        return not self.breaches and self.counts.get("queries", 0) > 0
