"""Keepers and brokers of a fleet on virtual time, with random faults between them, and an auditor that sees
true time.

Each process has a clock of its own, offset and rate drawn. Messages are late, lost, or cut on a way;
processes are killed, stopped, continued and started again. The auditor sums what all may hold, what they do
hold and what they use, in true time, after each event: it looks at the processes from outside and knows
nothing of keepers' books.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from heathwell.fleet.membership import LocalMember
from heathwell.fleet.quotas import (
    BrokerQuotas,
    Budget,
    BudgetKind,
    FractionLeaseRequest,
    Lease,
    QuotaCoordinator,
    QuotaRenewal,
    QuotaRenewalReply,
    QuotaTimings,
)

TURN_US, RENEW_US, TICK_US = 100_000, 400_000, 500_000
BUDGETS = (
    Budget("connections", BudgetKind.COUNT, 120, 24, 24, linger_timeout_us=300_000),
    Budget("further", BudgetKind.RATE, 60_000, 12_000, 24, burst_window_us=2_000_000),
)


@dataclass(slots=True)
class Machine:
    """A process slot: its clock goes on over restarts, its program does not."""

    name: str
    offset: int
    rate: float
    run: int = 0
    up: bool = True
    stopped_at: int | None = None
    missed: list[tuple[Any, Any]] = field(default_factory=list)  # what came while it was stopped, by sender
    program: Any = None
    held: int = 0  # count units that hosts see of it

    def clock(self, true_us: int) -> int:
        """Its own clock."""
        return self.offset + int(true_us * self.rate)


@dataclass(slots=True)
class Lingering:
    """Count units of a process that died, at their hosts."""

    units: int
    until: int


class QuotaScenario:
    """One seeded run. ``breaches`` are the auditor's sentences; ``use`` sums what was used of the whole by
    time.
    """

    def __init__(
        self,
        seed: int,
        *,
        brokers: int = 12,
        keepers: int = 3,
        drift: float = 0.02,
        loss: float = 0.02,
        budgets: tuple[Budget, ...] = BUDGETS,
        timings: QuotaTimings | None = None,
        keeper: type[QuotaCoordinator] = QuotaCoordinator,
    ) -> None:
        self.draw = random.Random(seed)
        self.drift, self.loss, self.budgets, self.keeper_type = drift, loss, budgets, keeper
        self.timings = timings or QuotaTimings(Lease(3_000_000, 0.03), Lease(6_000_000, 0.03))
        self.now = self._ticket = 0
        self._due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.cuts: set[tuple[str, str]] = set()
        self.breaches: list[str] = []
        self.lingering: list[Lingering] = []
        self.bucket = {
            budget.name: float(budget.total * budget.burst_window_us / 1e6)
            for budget in budgets
            if budget.kind == BudgetKind.RATE
        }
        self._bucket_at = 0
        self.used: Counter[tuple[str, int]] = Counter()  # units by budget and second
        self.deaths = self.messages = 0
        self.keepers = [self._machine(f"k{n}") for n in range(keepers)]
        self.brokers = [self._machine(f"b{n}") for n in range(brokers)]
        self.machines = {machine.name: machine for machine in [*self.keepers, *self.brokers]}
        for machine in self.machines.values():
            self.start(machine)

    def _machine(self, name: str) -> Machine:
        return Machine(
            name, self.draw.randrange(1_000_000_000), 1 + self.draw.uniform(-self.drift, self.drift)
        )

    # The run.

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        """A call at a true time."""
        self._ticket += 1
        heapq.heappush(self._due, (when, self._ticket, call, args))

    def until(self, end: int) -> None:
        """Go on to a true time."""
        while self._due and self._due[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._due)
            call(*args)
        self.now = end

    # Faults.

    def start(self, machine: Machine) -> None:
        """A new run of its program, with nothing remembered but the budgets."""
        machine.run += 1
        machine.up, machine.stopped_at, machine.missed = True, None, []
        now = machine.clock(self.now)
        if machine in self.keepers:
            number = self.keepers.index(machine)
            machine.program = self.keeper_type(
                number, f"{machine.name}.{machine.run}", len(self.keepers), self.budgets, now, self.timings
            )
            self.at(self.now + self.draw.randrange(TICK_US), self._tick, machine, machine.run)
        else:
            member = LocalMember(machine.name, self.now + 1, now, timeouts=self.timings.membership)
            names = tuple(keeper.name for keeper in self.keepers)
            machine.program = BrokerQuotas(member, self.budgets, names, now, self.timings)
            self.at(self.now + self.draw.randrange(TURN_US), self._turn, machine, machine.run)
            self.at(self.now + self.draw.randrange(RENEW_US), self._renew, machine, machine.run)

    def kill(self, machine: Machine, back_after: int | None) -> None:
        """SIGKILL; hosts see its units for as long as they linger at most."""
        if not machine.up:
            return
        self._linger(machine)
        machine.up, machine.program = False, None
        if back_after is not None:
            self.at(self.now + back_after, self._again, machine, machine.run)

    def _again(self, machine: Machine, run: int) -> None:
        if not machine.up and machine.run == run:
            self.start(machine)

    def stop(self, machine: Machine, span: int) -> None:
        """SIGSTOP, and SIGCONT after a while. Hosts close what is silent for as long as units linger."""
        if machine.up and machine.stopped_at is None:
            machine.stopped_at = self.now
            self.at(self.now + span, self._go_on, machine, machine.run)
            if machine in self.brokers:
                self.at(
                    self.now + self._linger_us, self._hosts_close, machine, machine.run, machine.stopped_at
                )

    def _go_on(self, machine: Machine, run: int) -> None:
        if not machine.up or machine.run != run:
            return
        machine.stopped_at = None
        missed, machine.missed = machine.missed, []
        if machine in self.brokers:
            self._first_turn(machine)
        for sender, message in missed:  # what waited in its sockets
            self._arrive(sender, machine, machine.run, message)

    def _first_turn(self, machine: Machine) -> None:
        now = machine.clock(self.now)
        machine.program.check_clock(now)
        for _ in range(20):  # it had much to send
            self._use(machine, now)

    def _hosts_close(self, machine: Machine, run: int, since: int) -> None:
        if self._runs(machine, run) and machine.stopped_at == since:
            shares: BrokerQuotas = machine.program
            for holder in shares.holders.values():
                if holder.budget.kind == BudgetKind.COUNT:
                    while holder.in_use:
                        holder.release()

    @property
    def _linger_us(self) -> int:
        return max((budget.linger_timeout_us for budget in self.budgets), default=0)

    def _linger(self, machine: Machine) -> None:
        if machine in self.brokers:
            units = self._units(machine)
            if units:
                self.lingering.append(Lingering(units, self.now + self._linger_us))

    # Messages.

    def _send(self, source: Machine, target: Machine, message: Any) -> None:
        self.messages += 1
        if (source.name, target.name) in self.cuts or self.draw.random() < self.loss:
            return
        delay = int(self.draw.expovariate(1 / 8_000)) + 200
        if self.draw.random() < 0.02:
            delay += self.draw.randrange(2_000_000)
        self.at(self.now + delay, self._arrive, source, target, target.run, message)

    def _arrive(self, source: Machine, target: Machine, run: int, message: Any) -> None:
        if not target.up or target.run != run:
            return  # its connection was that of the run before
        if target.stopped_at is not None:
            target.missed.append((source, message))
            return
        now = target.clock(self.now)
        match message:
            case QuotaRenewal():
                self._send(target, source, target.program.on_renewal(now, message).reply)
            case QuotaRenewalReply():
                target.program.check_clock(now)
                self.deaths += target.program.on_reply(now, source.name, message) is not None
                self._look()
            case FractionLeaseRequest():
                self._send(
                    target, source, target.program.on_lease_request(now, self.keepers.index(source), message)
                )
            case vote:
                target.program.on_lease_vote(now, self.keepers.index(source), vote)

    # What processes do by themselves.

    def _runs(self, machine: Machine, run: int) -> bool:
        return machine.up and machine.run == run

    def _tick(self, machine: Machine, run: int) -> None:
        if not self._runs(machine, run):
            return
        self.at(self.now + int(TICK_US / machine.rate), self._tick, machine, run)
        if machine.stopped_at is None:
            requests = machine.program.tick(machine.clock(self.now)).lease_requests
            for other in self.keepers:
                for request in requests if other is not machine else ():
                    self._send(machine, other, request)

    def _renew(self, machine: Machine, run: int) -> None:
        if not self._runs(machine, run):
            return
        self.at(self.now + int(RENEW_US / machine.rate), self._renew, machine, run)
        if machine.stopped_at is None:
            now = machine.clock(self.now)
            self.deaths += machine.program.check_clock(now) is not None
            for addressed in machine.program.renewals(now):
                self._send(machine, self.machines[addressed.coordinator], addressed.renewal)

    def _turn(self, machine: Machine, run: int) -> None:
        if not self._runs(machine, run):
            return
        self.at(self.now + TURN_US, self._turn, machine, run)
        if machine.stopped_at is None:
            now = machine.clock(self.now)
            self.deaths += machine.program.check_clock(now) is not None
            for _ in range(4):
                self._use(machine, now)
            self._look()

    def _use(self, machine: Machine, now: int) -> None:
        """Use all that can be had; let go of what is too much, and of some by chance."""
        shares: BrokerQuotas = machine.program
        for name, holder in shares.holders.items():
            if holder.budget.kind == BudgetKind.RATE:
                if shares.acquire(now, name):
                    self._spend(name)
                continue
            for _ in range(holder.excess(now)):
                holder.release()
            if holder.in_use and self.draw.random() < 0.05:
                holder.release()
            shares.acquire(now, name)

    # The auditor.

    def _spend(self, name: str) -> None:
        self.used[name, self.now // 1_000_000] += 1
        budgets = {budget.name: budget for budget in self.budgets}
        for other, saved in self.bucket.items():
            most = budgets[other]
            self.bucket[other] = min(
                saved + most.total * (self.now - self._bucket_at) / 1e6,
                most.total * most.burst_window_us / 1e6,
            )
        self._bucket_at = self.now
        self.bucket[name] -= 1_000
        if self.bucket[name] < -1e-6:
            most_a_second = budgets[name].total / 1000
            self.breaches.append(
                f"{self.now / 1e6:.3f} s: more of {name} was used than {most_a_second} a second"
            )

    def _units(self, machine: Machine) -> int:
        shares: BrokerQuotas = machine.program
        return sum(
            holder.in_use for holder in shares.holders.values() if holder.budget.kind == BudgetKind.COUNT
        )

    def _look(self) -> None:
        """What may be held and is held at this instant, stopped processes included."""
        self.lingering = [old for old in self.lingering if old.until > self.now]
        for budget in self.budgets:
            may = sum(
                broker.program.holders[budget.name].quota(broker.clock(self.now))
                for broker in self.brokers
                if broker.up
            )
            if may > budget.total:
                self.breaches.append(
                    f"{self.now / 1e6:.3f} s: {may} of {budget.name} may be held, of {budget.total}"
                )
            if budget.kind == BudgetKind.COUNT:
                held = sum(
                    broker.program.holders[budget.name].in_use for broker in self.brokers if broker.up
                ) + sum(old.units for old in self.lingering)
                self.used[budget.name, self.now // 1_000_000] = max(
                    self.used[budget.name, self.now // 1_000_000], held
                )
                if held > budget.total:
                    self.breaches.append(
                        f"{self.now / 1e6:.3f} s: {held} of {budget.name} are held, of {budget.total}"
                    )


def random_faults(day: QuotaScenario, begin: int, end: int, every_us: int = 700_000) -> list[str]:
    """Faults drawn from the day's seed, and what they were, in order."""
    told: list[str] = []
    when = begin
    while when < end:
        when += int(day.draw.expovariate(1 / every_us))
        kind = day.draw.choice(
            ["kill", "stop", "cut", "oneway", "mass", "keeper-kill", "keeper-stop", "half"]
        )
        machine = day.draw.choice(day.keepers if kind.startswith("keeper") else day.brokers)
        span = day.draw.randrange(50_000, 9_000_000)
        match kind:
            case "kill" | "keeper-kill":
                day.at(when, day.kill, machine, span // 3)
            case "stop" | "keeper-stop":
                day.at(when, day.stop, machine, span)
            case "mass":
                for broker in day.brokers:
                    if day.draw.random() < 0.6:
                        day.at(
                            when + day.draw.randrange(900_000), day.kill, broker, day.draw.randrange(500_000)
                        )
            case _:
                names = [m.name for m in day.brokers if kind != "half" or day.draw.random() < 0.5]
                side = names if kind == "half" else [machine.name]
                other = day.draw.choice(day.keepers).name
                ways = {(a, other) for a in side} | (
                    {(other, a) for a in side} if kind != "oneway" else set()
                )
                if kind == "oneway" and day.draw.random() < 0.5:
                    ways = {(b, a) for a, b in ways}
                if kind == "cut" and day.draw.random() < 0.4:
                    far = day.draw.choice([k.name for k in day.keepers if k.name != other])
                    ways |= {(other, far), (far, other)}
                day.at(when, day.cuts.update, ways)
                day.at(when + span, day.cuts.difference_update, ways)
        told.append(f"{when / 1e6:.3f} {kind} {machine.name} {span / 1e6:.2f}")
    return told
