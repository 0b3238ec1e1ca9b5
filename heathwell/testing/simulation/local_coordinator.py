"""A quota coordinator on the loop of a simulated fleet."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

from heathwell.fleet.control.evacuation_coordinator import EvacuationCoordinator
from heathwell.fleet.control.parameters import budgets_from_settings, quota_timings_from_settings
from heathwell.fleet.control.quota_coordinator import QuotaCoordinatorServer
from heathwell.fleet.quotas import QuotaCoordinator
from heathwell.settings import ServiceSettings
from heathwell.testing.simulation.fleet_member import Role
from heathwell.testing.simulation.local_surroundings import LocalSurroundings

SEED_FACTOR: Final = 50

EvacuationCoordinatorFactory = Callable[[ServiceSettings], EvacuationCoordinator]


class RunningCoordinator:
    """One run of a quota coordinator; ``addresses`` are those of all coordinators, by number."""

    def __init__(
        self,
        surroundings: LocalSurroundings,
        number: int,
        run: int,
        addresses: Mapping[int, str],
        make_evacuation_coordinator: EvacuationCoordinatorFactory,
    ) -> None:
        self.name = f"k{number}r{run}"
        service_settings = surroundings.service_settings
        evacuates = service_settings.fleet.evacuate
        self.server = QuotaCoordinatorServer(
            surroundings.loop,
            surroundings.net_of(self.name),
            _quota_coordinator(surroundings, number, run, len(addresses)),
            {other: address for other, address in addresses.items() if other != number},
            seed=surroundings.seed * SEED_FACTOR + number,
            log=surroundings.log,
            events=surroundings.event_log(self.name, Role.COORDINATOR),
            evacuation=make_evacuation_coordinator(service_settings) if evacuates else None,
        )
        self.server.start(addresses[number])

    def kill(self) -> None:
        """End as by SIGKILL: its state is lost."""
        self.server.close()


def _quota_coordinator(
    surroundings: LocalSurroundings, number: int, run: int, count: int
) -> QuotaCoordinator:
    fleet = surroundings.service_settings.fleet
    return QuotaCoordinator(
        number,
        f"k{number}.{run}",
        count,
        budgets_from_settings(fleet),
        surroundings.loop.now(),
        quota_timings_from_settings(fleet),
    )
