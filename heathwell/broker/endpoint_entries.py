"""Conversion of the decision module's endpoints to entries of the endpoint list."""

from __future__ import annotations

from heathwell import policy
from heathwell.policy.records import Endpoint


def to_endpoint_entry(endpoint: Endpoint, state: policy.EndpointState) -> policy.EndpointEntry:
    """Return the entry of a listed endpoint, with the given state in place of its own."""
    return policy.EndpointEntry(
        endpoint.node,
        endpoint.replica_group,
        state,
        endpoint.started_at_us,
        endpoint.rating,
        endpoint.zone,
    )
