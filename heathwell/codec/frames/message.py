"""The base class of all messages."""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, tag_field="type", omit_defaults=True):
    """The base of all messages. Within a protocol version, fields may be added but not removed or changed."""
