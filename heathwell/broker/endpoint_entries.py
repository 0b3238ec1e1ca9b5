"""Makes entries of the endpoint list from endpoints that the decision module lists."""

from __future__ import annotations

from heathwell import policy
from heathwell.policy.records import Endpoint


def to_endpoint_entry(endpoint: Endpoint, state: policy.EndpointState) -> policy.EndpointEntry:
    """Return the entry of a listed endpoint in another state, or in the same."""
    return policy.EndpointEntry(
        endpoint.node,
        endpoint.replica_group,
        state,
        endpoint.started_at_us,
        endpoint.rating,
        endpoint.zone,
    )
