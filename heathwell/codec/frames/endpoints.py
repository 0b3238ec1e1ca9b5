"""Messages between hosts, brokers and the discovery service: registrations and endpoint lists."""

from __future__ import annotations

import msgspec

from heathwell.codec.frames.message import Message


class EndpointListEntry(msgspec.Struct, omit_defaults=True):
    """A host in the list; ``birth`` identifies its process, which has run for ``age_us`` (-1: unknown)."""

    node: str
    cell: int
    zone: int
    state: str = "live"
    birth: int = 0
    age_us: int = -1


class Registration(Message, tag="register"):
    """A host registers with discovery; the connection is its heartbeat."""

    entry: EndpointListEntry


class WatchRequest(Message, tag="watch"):
    """A broker requests the endpoint list and its changes."""

    index: int = 0


class EndpointList(Message, tag="hosts"):
    """The endpoint list (``full``) or changed entries (``update``)."""

    kind: str
    index: int
    entries: list[EndpointListEntry]
