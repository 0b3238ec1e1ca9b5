"""The processes of a simulated fleet with quotas: coordinators and brokers, each with a clock of its own."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from heathwell.fleet.quotas import (
    BrokerQuotas,
    Budget,
    BudgetKind,
    FractionLeaseRequest,
    FractionLeaseVote,
    QuotaCoordinator,
    QuotaHolder,
    QuotaRenewal,
    QuotaRenewalReply,
)
from heathwell.testing.simulation.errors import SimulationError

Program = TypeVar("Program", BrokerQuotas, QuotaCoordinator)
Message = QuotaRenewal | QuotaRenewalReply | FractionLeaseRequest | FractionLeaseVote


class ProcessNotRunningError(SimulationError):
    """A killed process has no program.

    Attributes:
        process: the name of the process.
    """

    def __init__(self, process: str) -> None:
        super().__init__(f"{process} is not running")
        self.process = process


@dataclass(slots=True, eq=False)
class SimulatedProcess(Generic[Program]):
    """A process slot: its clock continues over restarts, its program does not.

    ``clock_offset_us`` and ``clock_rate`` relate its clock to true time. A restart begins a new
    ``incarnation``. ``paused_at_us`` is in true time, None while the process is not paused.
    """

    name: str
    clock_offset_us: int
    clock_rate: float
    incarnation: int = 0
    paused_at_us: int | None = None
    program: Program | None = None
    undelivered: list[Delivery] = field(default_factory=list)
    """Messages that arrived while the process was paused, in order of arrival."""

    def clock_us(self, true_time_us: int) -> int:
        """Return the reading of the process's clock at a true time."""
        return self.clock_offset_us + int(true_time_us * self.clock_rate)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and not killed since; a paused one counts as running."""
        return self.program is not None

    @property
    def is_paused(self) -> bool:
        """Whether the process is suspended."""
        return self.paused_at_us is not None

    @property
    def running_program(self) -> Program:
        """Return the program; raise ProcessNotRunningError where the process was killed."""
        if self.program is None:
            raise ProcessNotRunningError(self.name)
        return self.program

    def begin_incarnation(self) -> None:
        """Begin a new incarnation: not paused, and without the messages to the last one."""
        self.incarnation += 1
        self.paused_at_us = None
        self.undelivered = []

    def kill(self) -> None:
        """End the program; its state is lost."""
        self.program = None


class CoordinatorProcess(SimulatedProcess[QuotaCoordinator]):
    """A process of a quota coordinator."""

    __slots__ = ()


class BrokerProcess(SimulatedProcess[BrokerQuotas]):
    """A process of a broker; its program is the broker's quotas."""

    __slots__ = ()

    def holder(self, budget: Budget) -> QuotaHolder:
        """Return the running broker's holder of a budget."""
        return self.running_program.holders[budget.name]

    def count_holders(self) -> list[QuotaHolder]:
        """Return the running broker's holders of counts."""
        return [
            holder
            for holder in self.running_program.holders.values()
            if holder.budget.kind is BudgetKind.COUNT
        ]


Process = CoordinatorProcess | BrokerProcess


@dataclass(frozen=True, slots=True)
class Delivery:
    """A message on its arrival, with its source."""

    source: Process
    message: Message
