"""Looks up which endpoints hold a shard, by the shard placement in the settings."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from heathwell.policy.records import Endpoint
from heathwell.settings.schema import Fleet


def live_replicas(
    shard: int, fleet: Fleet, endpoints_by_group: Mapping[int, Sequence[Endpoint]]
) -> list[str]:
    """Return the live endpoints that hold a shard.

    A shard is held by ``fleet.width`` consecutive replica groups out of ``fleet.cells``, wrapping around.
    """
    return [
        endpoint.node
        for step in range(fleet.width)
        for endpoint in endpoints_by_group.get((shard + step) % fleet.cells, [])
        if endpoint.live
    ]
