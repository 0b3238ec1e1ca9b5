"""The command lines of a fleet's processes, from its settings and the addresses of processes that serve."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Final

from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.fault_links import FaultLinks
from heathwell.testing.simulation.fleet_member import FleetMember, MemberSpec, Role

ANY_LOOPBACK_PORT: Final = "127.0.0.1:0"
LEAF_SEED_FACTOR: Final = 100
BROKER_SEED_FACTOR: Final = 1000
RELAY_SEED_FACTOR: Final = 10


class MemberSpecs:
    """Builds the specifications of a fleet's members.

    ``members`` are the processes of the fleet, by name; a specification holds the addresses of those that it
    connects to, so these serve before. With ``links`` each process reaches the others through a link of its
    own.
    """

    def __init__(
        self,
        service_settings: ServiceSettings,
        members: Mapping[str, FleetMember],
        *,
        seed: int,
        leaf_host: str,
        links: FaultLinks | None,
    ) -> None:
        self.service_settings = service_settings
        self.members = members
        self.seed = seed
        self.leaf_host = leaf_host
        self.links = links
        self.source_address = ""
        self.coordinator_names = [f"k{number}" for number in range(len(service_settings.fleet.coordinators))]

    def discovery(self) -> MemberSpec:
        """Return the specification of discovery."""
        return MemberSpec(Role.DISCOVERY, "discovery", 0, 0)

    def source(self) -> MemberSpec:
        """Return the specification of the source of updates."""
        return MemberSpec(Role.SOURCE, "source", 0, 0)

    def coordinator(self, number: int) -> MemberSpec:
        """Return the specification of a quota coordinator."""
        name = self.coordinator_names[number]
        arguments = ["--number", str(number), *self._coordinator_arguments(name)]
        if self.links is not None:
            arguments += ["--listen", ANY_LOOPBACK_PORT]
        return MemberSpec(Role.COORDINATOR, name, number, self._zone_index(number), tuple(arguments))

    def leaf(self, number: int) -> MemberSpec:
        """Return the specification of a host."""
        name = f"leaf{number}"
        zone = self._zone_index(number)
        arguments = (
            *("--discovery", self._address_from(name, "discovery")),
            *("--cell", str(number % self.service_settings.fleet.cells)),
            *("--zone", str(zone)),
            *("--seed", str(self.seed * LEAF_SEED_FACTOR + number)),
            *("--listen", f"{self.leaf_host}:0"),
        )
        return MemberSpec(Role.LEAF, name, number, zone, arguments)

    def broker(self, number: int) -> MemberSpec:
        """Return the specification of a broker; all hosts serve before."""
        name = f"b{number}"
        zone = self._zone_index(number)
        arguments = [
            *("--discovery", self._address_from(name, "discovery")),
            *("--zone", str(zone)),
            *("--seed", str(self.seed * BROKER_SEED_FACTOR + number)),
        ]
        if self.source_address:
            arguments += ["--source", self.source_address]
        arguments += self._route_arguments(name, zone)
        arguments += self._coordinator_arguments(name)
        return MemberSpec(Role.BROKER, name, number, zone, tuple(arguments))

    def region_relays(self) -> list[MemberSpec]:
        """Return the specification of a relay for each region: the link of its brokers to hosts elsewhere."""
        regions = self.service_settings.across.regions
        specs = [self._region_relay(number, region.name) for number, region in enumerate(regions)]
        return [spec for spec in specs if spec is not None]

    def _region_relay(self, number: int, region: str) -> MemberSpec | None:
        remote = [leaf.address for leaf in self._leaves() if self._region_of(leaf.zone) != region]
        if not remote:
            return None
        seed = self.seed * RELAY_SEED_FACTOR + number
        arguments = ("--targets", ",".join(remote), "--seed", str(seed))
        return MemberSpec(Role.RELAY, _region_relay_name(region), number, 0, arguments)

    def _leaves(self) -> list[FleetMember]:
        return [member for member in self.members.values() if member.role is Role.LEAF]

    def _zone_index(self, number: int) -> int:
        return number % len(self.service_settings.fleet.zones)

    def _region_of(self, zone: int) -> str:
        """Return the region of a zone, or an empty string where the settings have no regions."""
        zone_name = self.service_settings.fleet.zones[zone]
        regions = self.service_settings.across.regions
        return next((region.name for region in regions if zone_name in region.zones), "")

    def _address_from(self, source: str, target: str) -> str:
        """Return the address by which one process reaches another."""
        if self.links is not None:
            return self.links.open_link(source, target)
        return self.members[target].address

    def _coordinator_arguments(self, source: str) -> list[str]:
        """Return how a process reaches the coordinators: with links by its own, else as the settings say."""
        if not self.coordinator_names or self.links is None:
            return []
        addresses = [self.links.open_link(source, name) for name in self.coordinator_names]
        return ["--keepers", ",".join(addresses)]

    def _route_arguments(self, source: str, zone: int) -> list[str]:
        """Return by which address a broker reaches each host that it does not reach directly."""
        if self.links is not None:
            routes = {leaf.address: self.links.open_link(source, leaf.name) for leaf in self._leaves()}
            return ["--routes", json.dumps(routes)]
        relay = self.members.get(_region_relay_name(self._region_of(zone)))
        return ["--routes", json.dumps(relay.routes)] if relay is not None else []


def _region_relay_name(region: str) -> str:
    return f"link-{region}"
