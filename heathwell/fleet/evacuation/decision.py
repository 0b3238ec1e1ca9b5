"""The numbered decision that all brokers go by. Owns its records; imports nothing of heathwell.

A decision crosses the wire: its fields are converted in `heathwell/fleet/control/messages.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

QueryClassNames = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ZoneDirective:
    """What all brokers are to do with one zone.

    ``traffic_share`` of its usual first attempts goes there, from 0 (none) to 1 (as usual).
    ``query_classes`` are those evacuated where it is not the entire zone; empty: all. ``state`` is a value of
    `ZoneState`, held as the string that came over the wire: a later version may send one that is not known
    here.
    """

    state: str
    traffic_share: float
    query_classes: QueryClassNames = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """Directives for all zones but those that serve. Of two decisions the greater (term, number) counts."""

    term: int
    number: int
    zones: dict[str, ZoneDirective] = field(default_factory=dict)

    def is_newer_than(self, other: Decision) -> bool:
        """Whether it replaces ``other``, whoever brings it."""
        return (self.term, self.number) > (other.term, other.number)
