"""Quota coordinators and brokers of a fleet on virtual time, with faults between them.

Each process has a clock of its own, its offset and rate drawn from the seed. Messages are delayed, lost or
cut off on a link; processes are killed, paused, resumed and started again. A
:class:`~heathwell.testing.simulation.quota_auditor.QuotaAuditor` checks the budgets after each event.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Final, TypeVar

from heathwell.fleet.membership import LocalMember
from heathwell.fleet.quotas import (
    BrokerQuotas,
    Budget,
    BudgetKind,
    FractionLeaseRequest,
    FractionLeaseVote,
    Lease,
    QuotaCoordinator,
    QuotaHolder,
    QuotaRenewal,
    QuotaRenewalReply,
    QuotaTimings,
)
from heathwell.testing.simulation.call_schedule import CallSchedule
from heathwell.testing.simulation.process_links import Link
from heathwell.testing.simulation.quota_auditor import Overshoot, QuotaAuditor
from heathwell.testing.simulation.quota_processes import (
    BrokerProcess,
    CoordinatorProcess,
    Delivery,
    Message,
    Process,
)

NewProcess = TypeVar("NewProcess", CoordinatorProcess, BrokerProcess)

BROKER_TURN_INTERVAL_US: Final = 100_000
RENEWAL_INTERVAL_US: Final = 400_000
COORDINATOR_TICK_INTERVAL_US: Final = 500_000
MAX_CLOCK_OFFSET_US: Final = 1_000_000_000

MEAN_DELAY_US: Final = 8_000
MIN_DELAY_US: Final = 200
LONG_DELAY_PROBABILITY: Final = 0.02
MAX_LONG_DELAY_US: Final = 2_000_000

USES_PER_TURN: Final = 4
USES_AFTER_RESUME: Final = 20
RELEASE_PROBABILITY: Final = 0.05

BUDGETS: Final = (
    Budget("connections", BudgetKind.COUNT, 120, 24, 24, linger_timeout_us=300_000),
    Budget("further", BudgetKind.RATE, 60_000, 12_000, 24, burst_window_us=2_000_000),
)
TIMINGS: Final = QuotaTimings(Lease(3_000_000, 0.03), Lease(6_000_000, 0.03))


class QuotaScenario:
    """One seeded run.

    ``cut_links`` are the links that lose all messages. ``ended_incarnations`` counts how often a broker found
    that its incarnation had ended, ``message_count`` the messages sent.
    """

    def __init__(
        self,
        seed: int,
        *,
        brokers: int = 12,
        coordinators: int = 3,
        max_clock_drift: float = 0.02,
        loss_probability: float = 0.02,
        budgets: tuple[Budget, ...] = BUDGETS,
        timings: QuotaTimings = TIMINGS,
        coordinator_type: type[QuotaCoordinator] = QuotaCoordinator,
    ) -> None:
        self.random = random.Random(seed)
        self.max_clock_drift = max_clock_drift
        self.loss_probability = loss_probability
        self.budgets = budgets
        self.timings = timings
        self.coordinator_type = coordinator_type
        self.cut_links: set[Link] = set()
        self.auditor = QuotaAuditor(budgets)
        self.ended_incarnations = 0
        self.message_count = 0
        self.schedule = CallSchedule()
        self.coordinators = [self._create(CoordinatorProcess, f"k{number}") for number in range(coordinators)]
        self.brokers = [self._create(BrokerProcess, f"b{number}") for number in range(brokers)]
        self.coordinators_by_name = {coordinator.name: coordinator for coordinator in self.coordinators}
        for process in self.processes:
            self.start(process)

    @property
    def processes(self) -> list[Process]:
        """All processes, the coordinators first."""
        return [*self.coordinators, *self.brokers]

    @property
    def overshoots(self) -> list[Overshoot]:
        """What the auditor has found until now."""
        return self.auditor.overshoots

    @property
    def now_us(self) -> int:
        """The true time."""
        return self.schedule.now_us

    def run_until(self, end_us: int) -> None:
        """Run up to a true time."""
        self.schedule.run_until(end_us)

    # Faults

    def start(self, process: Process) -> None:
        """Begin a new incarnation of a process, without any state of the last one."""
        process.begin_incarnation()
        if isinstance(process, CoordinatorProcess):
            self._start_coordinator(process)
        else:
            self._start_broker(process)

    def kill(self, process: Process, restart_after_us: int | None = None) -> None:
        """Kill a process as SIGKILL does, and start it again after a time, if one is given."""
        if not process.is_running:
            return
        if isinstance(process, BrokerProcess):
            self.auditor.record_kill(self.now_us, process)
        process.kill()
        if restart_after_us is not None:
            restart = partial(self._restart, process, process.incarnation)
            self.schedule.call_at(self.now_us + restart_after_us, restart)

    def pause(self, process: Process, duration_us: int) -> None:
        """Suspend a process as SIGSTOP does, and resume it after a time.

        Hosts close the connections of a broker that is silent for the linger timeout.
        """
        if not process.is_running or process.is_paused:
            return
        process.paused_at_us = self.now_us
        self._call_after(duration_us, process, partial(self._resume, process))
        if isinstance(process, BrokerProcess):
            close = partial(self._close_connections, process, self.now_us)
            self._call_after(self.auditor.linger_timeout_us, process, close)

    def _restart(self, process: Process, killed_incarnation: int) -> None:
        if not process.is_running and process.incarnation == killed_incarnation:
            self.start(process)

    def _resume(self, process: Process) -> None:
        process.paused_at_us = None
        undelivered = process.undelivered
        process.undelivered = []
        if isinstance(process, BrokerProcess):
            self._use_after_resume(process)
        for delivery in undelivered:
            self._deliver(process, delivery)

    def _close_connections(self, broker: BrokerProcess, paused_at_us: int) -> None:
        """Release all units of a broker, if it was paused all the time since."""
        if broker.paused_at_us != paused_at_us:
            return
        for holder in broker.count_holders():
            while holder.in_use:
                holder.release()

    # Start of processes

    def _create(self, process_type: type[NewProcess], name: str) -> NewProcess:
        clock_offset_us = self.random.randrange(MAX_CLOCK_OFFSET_US)
        clock_rate = 1 + self.random.uniform(-self.max_clock_drift, self.max_clock_drift)
        return process_type(name, clock_offset_us, clock_rate)

    def _start_coordinator(self, coordinator: CoordinatorProcess) -> None:
        coordinator.program = self.coordinator_type(
            self.coordinators.index(coordinator),
            f"{coordinator.name}.{coordinator.incarnation}",
            len(self.coordinators),
            self.budgets,
            self._clock_us(coordinator),
            self.timings,
        )
        first_tick_us = self.random.randrange(COORDINATOR_TICK_INTERVAL_US)
        self._call_after(first_tick_us, coordinator, partial(self._tick_coordinator, coordinator))

    def _start_broker(self, broker: BrokerProcess) -> None:
        now_us = self._clock_us(broker)
        member = LocalMember(broker.name, self.now_us + 1, now_us, timeouts=self.timings.membership)
        coordinators = tuple(self.coordinators_by_name)
        broker.program = BrokerQuotas(member, self.budgets, coordinators, now_us, self.timings)
        first_turn_us = self.random.randrange(BROKER_TURN_INTERVAL_US)
        self._call_after(first_turn_us, broker, partial(self._run_broker_turn, broker))
        first_renewal_us = self.random.randrange(RENEWAL_INTERVAL_US)
        self._call_after(first_renewal_us, broker, partial(self._renew, broker))

    # Messages

    def _send(self, source: Process, target: Process, message: Message) -> None:
        self.message_count += 1
        is_cut = Link(source.name, target.name) in self.cut_links
        if is_cut or self.random.random() < self.loss_probability:
            return
        delay_us = int(self.random.expovariate(1 / MEAN_DELAY_US)) + MIN_DELAY_US
        if self.random.random() < LONG_DELAY_PROBABILITY:
            delay_us += self.random.randrange(MAX_LONG_DELAY_US)
        # A connection ends with its process: a later incarnation does not receive the message.
        self._call_after(delay_us, target, partial(self._deliver, target, Delivery(source, message)))

    def _deliver(self, target: Process, delivery: Delivery) -> None:
        if target.is_paused:
            target.undelivered.append(delivery)
        elif isinstance(target, BrokerProcess):
            self._deliver_to_broker(target, delivery)
        else:
            self._deliver_to_coordinator(target, delivery)

    def _deliver_to_broker(self, broker: BrokerProcess, delivery: Delivery) -> None:
        assert isinstance(delivery.message, QuotaRenewalReply)
        now_us = self._clock_us(broker)
        quotas = broker.running_program
        quotas.check_clock(now_us)
        ended = quotas.on_reply(now_us, delivery.source.name, delivery.message)
        self.ended_incarnations += ended is not None
        self.auditor.observe(self.now_us, self.brokers)

    def _deliver_to_coordinator(self, coordinator: CoordinatorProcess, delivery: Delivery) -> None:
        now_us = self._clock_us(coordinator)
        program = coordinator.running_program
        source = delivery.source
        match delivery.message:
            case QuotaRenewal() as renewal:
                self._send(coordinator, source, program.on_renewal(now_us, renewal).reply)
            case FractionLeaseRequest() as request:
                number = self._coordinator_number(source)
                self._send(coordinator, source, program.on_lease_request(now_us, number, request))
            case FractionLeaseVote() as vote:
                program.on_lease_vote(now_us, self._coordinator_number(source), vote)

    def _coordinator_number(self, process: Process) -> int:
        assert isinstance(process, CoordinatorProcess)
        return self.coordinators.index(process)

    # Timers of processes

    def _clock_us(self, process: Process) -> int:
        return process.clock_us(self.now_us)

    def _call_after(self, delay_us: int, process: Process, call: Callable[[], None]) -> None:
        """Schedule a call that is dropped if the process's incarnation has ended by then."""
        guarded = partial(self._call_if_running, process, process.incarnation, call)
        self.schedule.call_at(self.now_us + delay_us, guarded)

    @staticmethod
    def _call_if_running(process: Process, incarnation: int, call: Callable[[], None]) -> None:
        if process.is_running and process.incarnation == incarnation:
            call()

    def _tick_coordinator(self, coordinator: CoordinatorProcess) -> None:
        interval_us = int(COORDINATOR_TICK_INTERVAL_US / coordinator.clock_rate)
        self._call_after(interval_us, coordinator, partial(self._tick_coordinator, coordinator))
        if coordinator.is_paused:
            return
        requests = coordinator.running_program.tick(self._clock_us(coordinator)).lease_requests
        for other in self.coordinators:
            if other is not coordinator:
                for request in requests:
                    self._send(coordinator, other, request)

    def _renew(self, broker: BrokerProcess) -> None:
        interval_us = int(RENEWAL_INTERVAL_US / broker.clock_rate)
        self._call_after(interval_us, broker, partial(self._renew, broker))
        if broker.is_paused:
            return
        self._check_clock(broker)
        for addressed in broker.running_program.renewals(self._clock_us(broker)):
            coordinator = self.coordinators_by_name[addressed.coordinator]
            self._send(broker, coordinator, addressed.renewal)

    def _run_broker_turn(self, broker: BrokerProcess) -> None:
        self._call_after(BROKER_TURN_INTERVAL_US, broker, partial(self._run_broker_turn, broker))
        if broker.is_paused:
            return
        self._check_clock(broker)
        for _ in range(USES_PER_TURN):
            self._use_quotas(broker)
        self.auditor.observe(self.now_us, self.brokers)

    def _check_clock(self, broker: BrokerProcess) -> None:
        ended = broker.running_program.check_clock(self._clock_us(broker))
        self.ended_incarnations += ended is not None

    def _use_after_resume(self, broker: BrokerProcess) -> None:
        """Use the quotas for all that was queued during the pause."""
        broker.running_program.check_clock(self._clock_us(broker))
        for _ in range(USES_AFTER_RESUME):
            self._use_quotas(broker)

    def _use_quotas(self, broker: BrokerProcess) -> None:
        """Acquire one unit of each budget, and release the excess of counts and some other units."""
        now_us = self._clock_us(broker)
        quotas = broker.running_program
        for name, holder in quotas.holders.items():
            if holder.budget.kind is BudgetKind.COUNT:
                self._release_units(holder, now_us)
                quotas.acquire(now_us, name)
            elif quotas.acquire(now_us, name):
                self.auditor.record_use(self.now_us, name)

    def _release_units(self, holder: QuotaHolder, now_us: int) -> None:
        for _ in range(holder.excess(now_us)):
            holder.release()
        if holder.in_use and self.random.random() < RELEASE_PROBABILITY:
            holder.release()
