"""Discovery's answers, checked, and as the module's news. Pure."""

from __future__ import annotations

from typing import Any

import msgspec

from heathwell import policy

STATES = {
    "up": policy.EndpointState.LIVE,
    "draining": policy.EndpointState.DRAINING,
    "removed": policy.EndpointState.GONE,
}


class TargetsError(ValueError):
    """An answer that is not of discovery's form."""


class Target(msgspec.Struct, frozen=True):
    """One node; ``boot_ms`` is its latest start in Unix time, 0 for long ago."""

    uid: str
    endpoint: str
    pod_group: int
    state: str
    az: str = ""
    model: str = ""
    capacity_hint: float = 1.0
    boot_ms: float = 0


class Targets(msgspec.Struct, frozen=True):
    """A whole list, or what changed."""

    rev: int
    all: bool
    targets: list[Target]

    @classmethod
    def from_json(cls, value: Any) -> Targets:
        """From decoded JSON; raises :class:`TargetsError`."""
        try:
            return msgspec.convert(value, cls)
        except msgspec.ValidationError as problem:
            raise TargetsError(str(problem)) from None

    @classmethod
    def of(cls, data: bytes) -> Targets:
        """From an answer's body; raises :class:`TargetsError`."""
        try:
            return _decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            raise TargetsError(str(problem)) from None


_decoder = msgspec.json.Decoder(Targets)


def state_of(target: Target) -> policy.EndpointState:
    """The module's word for its state; one that nobody knows is taken as draining."""
    return STATES.get(target.state, policy.EndpointState.DRAINING)


def news_of(
    targets: Targets, zones: tuple[str, ...], cells: int, unix_offset_us: int, asked: bool = True
) -> policy.EndpointUpdate:
    """The module's news. Starts are moved to the caller's clock, which is behind Unix time by
    ``unix_offset_us``.

    A state nobody knows is taken as draining; a node of a cell that is not there is left out.
    """
    places = {name: index for index, name in enumerate(zones)}
    return policy.EndpointUpdate(
        policy.UpdateKind.FULL if targets.all else policy.UpdateKind.INCREMENTAL,
        tuple(
            policy.EndpointEntry(
                target.uid,
                target.pod_group,
                state_of(target),
                max(1, int(target.boot_ms * 1000) - unix_offset_us) if target.boot_ms > 0 else None,
                target.capacity_hint if target.capacity_hint > 0 else 1.0,
                places.get(target.az, -1),
            )
            for target in targets.targets
            if 0 <= target.pod_group < cells
        ),
        asked,
    )
