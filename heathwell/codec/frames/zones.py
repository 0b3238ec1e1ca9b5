"""Records of the health of zones, and of decisions to evacuate them."""

from __future__ import annotations

import msgspec

from heathwell.codec.frames.message import Message


class ZoneReport(msgspec.Struct, omit_defaults=True, rename={"query_class": "klass"}):
    """Recent results of one query class at one zone, counted by a broker."""

    zone: str
    query_class: str
    good: int = 0
    late: int = 0
    bad: int = 0
    took_ms: int = 0


class ZoneDirective(msgspec.Struct, omit_defaults=True):
    """The decision on one zone.

    ``share`` of its usual first attempts goes there. ``only`` are the query classes that are evacuated, if
    not all are. ``why`` is the reason.
    """

    state: str
    share: float
    only: list[str] = []
    why: str = ""


class ZoneDecision(msgspec.Struct, omit_defaults=True):
    """The decision on all zones that are not served normally; the greater (term, number) supersedes."""

    term: int
    number: int
    zones: dict[str, ZoneDirective] = {}


class ZonesStatus(Message, tag="zones"):
    """The state of the zones at a coordinator.

    ``decides`` is set by the coordinator that decides; ``text`` is the reason for a rejected command.
    """

    decides: bool
    text: str = ""
    decision: ZoneDecision | None = None
    states: dict[str, str] = {}
    seen: list[ZoneReport] = []
