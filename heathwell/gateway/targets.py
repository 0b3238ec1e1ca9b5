"""Answers of the platform's discovery: decoding, checks, and conversion to endpoint updates.

The module has no I/O and no state. Imports the decision module's messages only.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from heathwell import policy
from heathwell.gateway.errors import GatewayError

ENDPOINT_STATES = {
    "up": policy.EndpointState.LIVE,
    "draining": policy.EndpointState.DRAINING,
    "removed": policy.EndpointState.GONE,
}
UNKNOWN_ZONE = -1


class TargetsError(GatewayError):
    """An answer of discovery that does not have the specified form."""


class Target(msgspec.Struct, frozen=True):
    """One node; ``boot_ms`` is the Unix time of its latest start, 0 if that was long ago."""

    uid: str
    endpoint: str
    pod_group: int
    state: str
    zone: str = msgspec.field(name="az", default="")
    model: str = ""
    capacity_hint: float = 1.0
    boot_ms: float = 0


class Targets(msgspec.Struct, frozen=True):
    """The complete list (``all``), or the changes since an earlier revision; ``rev`` is the new revision."""

    rev: int
    all: bool
    targets: list[Target]

    @classmethod
    def from_json(cls, value: object) -> Targets:
        """Convert decoded JSON; raise :class:`TargetsError`."""
        try:
            return msgspec.convert(value, cls)
        except msgspec.ValidationError as problem:
            raise TargetsError(str(problem)) from None

    @classmethod
    def from_bytes(cls, data: bytes) -> Targets:
        """Decode an answer's body; raise :class:`TargetsError`."""
        try:
            return _decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            raise TargetsError(str(problem)) from None


_decoder = msgspec.json.Decoder(Targets)


def endpoint_state(target: Target) -> policy.EndpointState:
    """Return a node's state as the decision module names it; an unknown state counts as draining."""
    return ENDPOINT_STATES.get(target.state, policy.EndpointState.DRAINING)


def to_endpoint_update(
    targets: Targets,
    zones: Sequence[str],
    replica_groups: int,
    unix_offset_us: int,
    *,
    requested: bool = True,
) -> policy.EndpointUpdate:
    """Convert an answer to an update for the decision module.

    Start times of nodes are converted to the caller's clock, which is ``unix_offset_us`` behind Unix time.
    Nodes of a replica group that does not exist are left out.
    """
    zone_indexes = {name: index for index, name in enumerate(zones)}
    return policy.EndpointUpdate(
        policy.UpdateKind.FULL if targets.all else policy.UpdateKind.INCREMENTAL,
        tuple(
            policy.EndpointEntry(
                target.uid,
                target.pod_group,
                endpoint_state(target),
                max(1, int(target.boot_ms * 1000) - unix_offset_us) if target.boot_ms > 0 else None,
                target.capacity_hint if target.capacity_hint > 0 else 1.0,
                zone_indexes.get(target.zone, UNKNOWN_ZONE),
            )
            for target in targets.targets
            if 0 <= target.pod_group < replica_groups
        ),
        requested,
    )
