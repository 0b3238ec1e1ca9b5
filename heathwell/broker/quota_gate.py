"""Where budgets of the whole fleet bite in a broker: further attempts, parts to cold hosts, connections to
one host.

The module is told before each batch what there is room for (:class:`~heathwell.policy.Room`); a unit is
used at the moment an attempt leaves, by the clock of that moment, so that nothing leaves on a share that has
run out meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from heathwell import policy
from heathwell.broker.host_pool import HostPool

if TYPE_CHECKING:
    from heathwell.broker.service_broker import ServiceBroker

Key = tuple[str, int]
FURTHER, COLD, CONNECTIONS = "further", "cold", "connections"
UNIT = 1_000  # thousandths
LOOK_US = 50_000  # how often it is asked which hosts are cold, and what must be let go
FLOW_US = 2_000_000  # over which the usual number of parts a host is counted


class Holder(Protocol):
    """This broker's side of one budget (:class:`heathwell.fleet.quotas.QuotaHolder`)."""

    in_use: int
    baseline_demand: int

    def capacity(self, now: int) -> int:
        """What could be taken now: thousandths of a rate, units of a count."""

    def record_unmet_demand(self, milliunits: int = UNIT) -> None:
        """A use that had no room."""

    def excess(self, now: int) -> int:
        """Units beyond the share."""

    def overdue(self, now: int) -> int:
        """Units that must go now."""

    def first_expiry_in_us(self, now: int) -> int | None:
        """How long the first of its grants lasts yet."""


class Agent(Protocol):
    """What lends to this broker (:class:`heathwell.fleet.control.agent.FleetAgent`)."""

    def turn(self) -> int:
        """Before anything is used; returns the time."""

    def take(self, budget: str, thousandths: int = UNIT) -> bool:
        """Use a unit now."""

    def give_back(self, budget: str) -> None:
        """A unit of a count is let go."""

    def holder(self, budget: str) -> Holder | None:
        """One budget's side."""

    def budget(self, name: str) -> tuple[int, int] | None:
        """Whole and linger (us) of a budget that is set; None where it is not."""

    def on_zones(self, zones: Any) -> None:
        """Say a broker's word on zones, and tell it what is decided."""

    def figures(self) -> dict[str, dict[str, float]]:
        """By budget: its share, and what was used and refused; those of each host summed."""


class QuotaGate:
    """The three budgets of one broker."""

    def __init__(self, broker: ServiceBroker, agent: Agent) -> None:
        self.broker, self.agent = broker, agent
        self._shared = {name for name in (FURTHER, COLD, CONNECTIONS) if agent.budget(name) is not None}
        spec = agent.budget(CONNECTIONS)
        self.linger_us = spec[1] if spec is not None else 0
        self._cold: dict[
            str, int
        ] = {}  # price of a part by cold host, in thousandths of one at its start's capacity
        self._until: dict[
            Key, int
        ] = {}  # when the share runs out that an attempt still waiting was taken from
        self._sent, self._flow_at, self._usual = 0, broker.loop.now(), 0
        broker.loop.call_at(broker.loop.now() + LOOK_US, self._look)

    def shares(self, name: str) -> bool:
        """Whether such a budget is set."""
        return name in self._shared

    # Attempts.

    def room(self) -> policy.QuotaUpdate | None:
        """What the module may send now."""
        now = self.agent.turn()
        if not self._shared & {FURTHER, COLD}:
            return None
        further = self.agent.holder(FURTHER) if FURTHER in self._shared else None
        cold: dict[str, int] | None = None
        if COLD in self._shared:
            cold = {}
            for node, price in self._cold.items():
                holder = self.agent.holder(f"{COLD}@{node}")
                if holder is not None:
                    cold[node] = holder.capacity(now) // price
        return policy.QuotaUpdate(further.capacity(now) // UNIT if further is not None else None, cold)

    def take(self, send: policy.Send, key: Key) -> bool:
        """Use what an attempt needs, all or nothing; the clock may have gone on since the module was told."""
        self._sent += 1
        cold = f"{COLD}@{send.node}"
        if send.slow_start and not self.agent.take(cold, self._cold.get(send.node, UNIT)):
            return False
        further = send.additional and FURTHER in self._shared
        if further and not self.agent.take(FURTHER):
            return False
        now, names = self.broker.loop.now(), [cold] * send.slow_start + [FURTHER] * further
        terms = [
            term
            for name in names
            if (holder := self.agent.holder(name)) is not None
            and (term := holder.first_expiry_in_us(now)) is not None
        ]
        if terms:
            self._until[key] = now + min(terms)
        return True

    def still(self, key: Key) -> bool:
        """Whether an attempt that waited for its connection may leave."""
        now, until = self.agent.turn(), self._until.get(key)
        return until is None or now < until

    def over(self, key: Key) -> None:
        """An attempt has ended."""
        self._until.pop(key, None)

    def lacked(self) -> None:
        """A further attempt had no room."""
        holder = self.agent.holder(FURTHER)
        if holder is not None:
            holder.record_unmet_demand()
            self.broker.counters["lacked", FURTHER] += 1

    # Connections.

    def take_connection(self, node: str) -> bool:
        """Whether one more may be opened to a host; the last of a share that ends soon is not begun."""
        name = f"{CONNECTIONS}@{node}"
        took = self.agent.take(name)
        if not took:
            self.broker.counters["lacked", CONNECTIONS] += 1
        return took

    def gave_back(self, node: str) -> None:
        """One has ended."""
        self.agent.give_back(f"{CONNECTIONS}@{node}")

    # Now and then.

    def _look(self) -> None:
        """Which hosts are cold and at what price, what a host usually gets of this broker, what must be let
        go.
        """
        broker = self.broker
        if broker.dead:
            return
        now = self.agent.turn()
        broker.loop.call_at(now + LOOK_US, self._look)
        if COLD in self._shared:
            self._look_at_cold(now)
        if CONNECTIONS in self._shared:
            for node, link in broker.links.items():
                holder = (
                    self.agent.holder(f"{CONNECTIONS}@{node}")
                    if isinstance(link, HostPool) and (link.more or link.closing)
                    else None
                )
                if holder is not None and isinstance(link, HostPool):
                    link.shrink(holder.excess(now))
                    link.drop(holder.overdue(now))

    def _look_at_cold(self, now: int) -> None:
        module = self.broker.aggregator
        if now - self._flow_at >= FLOW_US:
            live = max(1, sum(server.live for server in module.endpoints.values()))
            self._usual = self._sent * UNIT * 1_000_000 // (live * (now - self._flow_at))
            self._sent, self._flow_at = 0, now
        self._cold = {}
        for server in module.endpoints.values():
            warmth = module.slow_start_fraction(server) if server.live else 1.0
            if warmth < 1:
                self._cold[server.node] = max(1, int(UNIT * module.settings.slow_start_capacity / warmth))
                holder = self.agent.holder(f"{COLD}@{server.node}")
                if holder is not None:
                    holder.baseline_demand = self._usual
