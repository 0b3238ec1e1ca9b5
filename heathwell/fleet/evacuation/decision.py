"""The numbered decision that all brokers follow. Owns its records; imports no other package of heathwell.

Decisions are sent on the wire: their fields are converted in `heathwell/fleet/control/messages.py`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

QueryClassNames = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ZoneDirective:
    """How all brokers must treat one zone.

    ``traffic_share`` is the share of the zone's usual first attempts that are sent to it, from 0 (none) to 1
    (all). ``query_classes`` are the evacuated classes if only some are; empty means all. ``state`` is a value
    of `ZoneState`, kept as the string received, because a later version may send a state that is unknown
    here.
    """

    state: str
    traffic_share: float
    query_classes: QueryClassNames = ()
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """Directives for all zones except serving ones. The greater (term, number) has precedence."""

    term: int
    number: int
    zones: dict[str, ZoneDirective] = field(default_factory=dict)

    def is_newer_than(self, other: Decision) -> bool:
        """Whether this decision replaces ``other``, regardless of its sender."""
        return (self.term, self.number) > (other.term, other.number)
