"""The JSON of a broker's ``/state`` page. The names of its fields are a stable interface."""

from __future__ import annotations

import msgspec

from heathwell.service.service_broker import ServiceBroker


class EjectionState(msgspec.Struct, frozen=True):
    """An ejection of an endpoint, for one query class or for all.

    ``for_ms``: the remaining duration. ``trial``: whether it is half-open. ``dead``: why the endpoint
    may have been unreachable, empty if it was not.
    """

    for_ms: int
    trial: bool
    dead: str


class EndpointState(msgspec.Struct, frozen=True):
    """An endpoint.

    ``cell``: its replica group. ``out``: attempts in flight. ``pace``: its relative latency. ``ejected``: its
    ejections by query class, or under ``all``.
    """

    node: str
    cell: int
    zone: int
    live: bool
    out: int
    pace: float
    ejected: dict[str, EjectionState]
    last_ok_ms: int | None
    connected: bool


class LinkState(msgspec.Struct, frozen=True):
    """The network link to another region.

    ``for_ms``: time in this state, None if it never changed. ``why``: the evidence for the state. ``crossed``
    and ``further_crossed``: attempts sent over the link, and those of them that are additional attempts.
    """

    region: str
    state: str
    for_ms: int | None
    why: str
    crossed: int
    further_crossed: int


class BrokerState(msgspec.Struct, frozen=True):
    """A broker. ``held``: queries and parts in progress. ``counts``: its counters, keys joined by slashes."""

    name: str
    links: list[LinkState]
    stopping: bool
    held: int
    queries: int
    hosts: list[EndpointState]
    counts: dict[str, int]


def broker_state(broker: ServiceBroker) -> BrokerState:
    """Return a snapshot of a broker's state."""
    return BrokerState(
        name=broker.name,
        links=_link_states(broker),
        stopping=broker.stopping,
        held=broker.open_count,
        queries=len(broker.queries),
        hosts=[_endpoint_state(broker, node) for node in broker.aggregator.endpoints],
        counts={"/".join(key): count for key, count in sorted(broker.counters.items())},
    )


def _endpoint_state(broker: ServiceBroker, node: str) -> EndpointState:
    endpoint = broker.aggregator.endpoints[node]
    now = broker.loop.now()
    last_response_at_us = endpoint.last_response_at_us
    link = broker.links.get(node)
    return EndpointState(
        node=node,
        cell=endpoint.replica_group,
        zone=endpoint.zone,
        live=endpoint.live,
        out=len(endpoint.in_flight),
        pace=round(endpoint.relative_latency.value, 3),
        ejected=_ejection_states(broker, node),
        last_ok_ms=(now - last_response_at_us) // 1000 if last_response_at_us >= 0 else None,
        connected=link is not None and link.up,
    )


def _ejection_states(broker: ServiceBroker, node: str) -> dict[str, EjectionState]:
    now = broker.loop.now()
    states: dict[str, EjectionState] = {}
    for scope, ejection in broker.aggregator.endpoints[node].ejections.items():
        left_us = max(0, ejection.ejected_at_us + ejection.duration_us - now)
        states[_scope_name(broker, scope)] = EjectionState(
            left_us // 1000, ejection.half_open, ejection.disconnect_reason or ""
        )
    return states


def _scope_name(broker: ServiceBroker, scope: int) -> str:
    """Return the name of the query class that an ejection applies to, or ``all``."""
    return "all" if scope < 0 else broker.settings.classes[scope].name


def _link_states(broker: ServiceBroker) -> list[LinkState]:
    if broker.region_links is None:
        return []
    now = broker.loop.now()
    return [
        LinkState(
            region=link.region,
            state=link.state,
            for_ms=(now - link.since_us) // 1000 if link.since_us else None,
            why=link.evidence,
            crossed=link.crossed_count,
            further_crossed=link.additional_crossed_count,
        )
        for link in broker.region_links.links.values()
    ]
