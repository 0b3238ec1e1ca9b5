"""The verdict on a run, and the breaches of rules that it consists of.

The texts of breaches and the fields of verdicts are compared with those of former versions, so that they must
not change.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from heathwell.testing.audit.reader import Event


@dataclass(frozen=True, slots=True)
class Breach:
    """A breach of a rule at one request (or host): the evidence, and its lines in the logs."""

    rule: int
    request: str
    text: str
    lines: tuple[str, ...]

    def __str__(self) -> str:
        return f"rule {self.rule}: {self.request}: {self.text} [{', '.join(self.lines)}]"


def breach_from(rule: int, request: str, text: str, *events: Event | None) -> Breach:
    """Return a breach with the locations of its events; an event that was not logged is None."""
    return Breach(rule, request, text, tuple(event.location for event in events if event is not None))


@dataclass(slots=True)
class Verdict:
    """The result of a run.

    ``coldest`` is the greatest load of an endpoint in slow start, as a fraction of the load that it bears.
    """

    breaches: list[Breach] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=dict)
    coldest: float = 0.0

    @property
    def kept(self) -> bool:
        """Whether every rule was kept; false for a run without any query."""
        return not self.breaches and self.counts.get("queries", 0) > 0
