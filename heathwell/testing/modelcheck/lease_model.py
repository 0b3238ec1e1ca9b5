"""A small model of the quota leases: two coordinators, two brokers, and one budget of one unit.

Job: the possible events in that fleet (loss, reordering, restart, expiry) and its invariants. Ownership: each
state belongs to the exploration that requested it. Imports: ``heathwell.fleet.quotas``.

Time advances in ticks. A lease lasts a few ticks and all clocks agree, so that only the order of events is
explored. Fraction leases outlast grants, as in a real fleet. Both coordinators request the lease of the one
fraction, which is the case with the most conflicts.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass

from heathwell.fleet.quotas import (
    Budget,
    BudgetKind,
    FractionLeaseRequest,
    FractionLeaseVote,
    FractionLedger,
    Grant,
    GrantRequest,
    Lease,
    LeaseCandidate,
    LeaseVoter,
    QuotaHolder,
)
from heathwell.testing.modelcheck.explorer import Transition
from heathwell.testing.modelcheck.lease_state import (
    BROKER_COUNT,
    COORDINATOR_COUNT,
    CoordinatorState,
    Envelope,
    FleetState,
    Message,
)

ONE_UNIT_BUDGET = Budget("unit", BudgetKind.COUNT, 1, 0, 2, fraction_count=1, minimum_grant=0)
FRACTION = 0
CLOCK_SKEW = 0.0

FleetTransition = Transition[FleetState]


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseModel:
    """The model's parameters; a test injects a bug by a faulty type of voter, ledger or holder.

    ``requests_leases`` and ``requests_grants`` select the requests that are sent. ``starts_with_lease``: the
    first coordinator initially holds the lease of the fraction. ``starts_with_grant``: the first broker
    initially holds the unit. A broker that releases its grant restarts with a new incarnation, which ignores
    earlier grants.
    """

    voter_type: type[LeaseVoter] = LeaseVoter
    ledger_type: type[FractionLedger] = FractionLedger
    holder_type: type[QuotaHolder] = QuotaHolder
    grant_duration_ticks: int = 2
    lease_duration_ticks: int = 4
    maximum_in_flight: int = 2
    restarts: int = 1
    requests_leases: bool = True
    requests_grants: bool = True
    starts_with_lease: bool = False
    starts_with_grant: bool = False

    def initial_state(self) -> FleetState:
        """Return a fleet whose coordinators have all been up for long enough to vote."""
        holders = [self.holder_type(ONE_UNIT_BUDGET, CLOCK_SKEW, 0) for _ in range(BROKER_COUNT)]
        state = FleetState(0, [], holders, remaining_restarts=self.restarts)
        state.coordinators = [self._start_coordinator(state) for _ in range(COORDINATOR_COUNT)]
        first = state.coordinators[0]
        lease_request = FractionLeaseRequest(FRACTION, first.incarnation, 0)
        for coordinator in state.coordinators:
            coordinator.voter.silent_until_us = 0  # restarts explore the silence after a start
            if self.starts_with_lease:
                first.candidate.on_vote(coordinator.voter.on_request(0, lease_request))
        if self.starts_with_grant:
            _deliver(state, Envelope("k0", GrantRequest("b0.0", 1, 0)))
            _deliver(state, state.in_flight.pop())
        return state

    def _start_coordinator(self, state: FleetState) -> CoordinatorState:
        incarnation = f"run{state.coordinator_incarnation_count}"
        state.coordinator_incarnation_count += 1
        lease = Lease(self.lease_duration_ticks, CLOCK_SKEW)
        return CoordinatorState(
            voter=self.voter_type(incarnation, state.now, lease),
            candidate=LeaseCandidate(incarnation, 0, 1, COORDINATOR_COUNT, lease, state.now, 0),
            ledger=self.ledger_type(
                ONE_UNIT_BUDGET, FRACTION, incarnation, Lease(self.grant_duration_ticks, CLOCK_SKEW)
            ),
            incarnation=incarnation,
        )

    def transitions(self, state: FleetState) -> Iterator[FleetTransition]:
        """Yield a tick, every request that may be sent, every delivery, every loss and every restart."""
        after_tick = state.copy()
        after_tick.now += 1
        yield Transition("a tick", after_tick)
        if len(state.in_flight) < self.maximum_in_flight:
            if self.requests_leases:
                yield from self._lease_requests(state)
            if self.requests_grants:
                yield from self._grant_requests(state)
        yield from self._network_events(state)
        if state.remaining_restarts:
            yield from self._restarts(state)

    def _lease_requests(self, state: FleetState) -> Iterator[FleetTransition]:
        for number in range(COORDINATOR_COUNT):
            after = state.copy()
            coordinator = after.coordinators[number]
            request = FractionLeaseRequest(FRACTION, coordinator.incarnation, after.now)
            coordinator.candidate.on_vote(coordinator.voter.on_request(after.now, request))
            after.in_flight.append(Envelope(f"k{1 - number}", request))
            label = (
                f"coordinator {number} ({coordinator.incarnation}) votes for itself and requests the lease"
            )
            yield Transition(label, after)

    def _grant_requests(self, state: FleetState) -> Iterator[FleetTransition]:
        for broker in range(BROKER_COUNT):
            for number in range(COORDINATOR_COUNT):
                after = state.copy()
                holder = after.holders[broker]
                member = f"b{broker}.{after.broker_incarnations[broker]}"
                grantor = after.coordinators[number].incarnation
                active = holder.request(after.now, FRACTION, grantor, member).active_grant_number
                request = GrantRequest(member, 1, after.now, active)
                after.in_flight.append(Envelope(f"k{number}", request))
                yield Transition(f"broker {broker} requests the unit of coordinator {number}", after)
                if holder.quota(after.now):
                    yield self._release(state, broker, number)

    def _release(self, state: FleetState, broker: int, number: int) -> FleetTransition:
        after = state.copy()
        member = f"b{broker}.{after.broker_incarnations[broker]}"
        after.holders[broker] = self.holder_type(ONE_UNIT_BUDGET, CLOCK_SKEW, after.now)
        after.broker_incarnations[broker] += 1
        request = GrantRequest(member, 0, after.now, releasing=True)
        after.in_flight.append(Envelope(f"k{number}", request))
        return Transition(f"broker {broker} releases the unit to coordinator {number} and restarts", after)

    def _network_events(self, state: FleetState) -> Iterator[FleetTransition]:
        for index in range(len(state.in_flight)):
            after_loss = state.copy()
            envelope = after_loss.in_flight.pop(index)
            yield Transition(f"lost: {_describe(envelope)}", after_loss)
            after_delivery = state.copy()
            envelope = after_delivery.in_flight.pop(index)
            _deliver(after_delivery, envelope)
            yield Transition(f"delivered: {_describe(envelope)}", after_delivery)

    def _restarts(self, state: FleetState) -> Iterator[FleetTransition]:
        for number in range(COORDINATOR_COUNT):
            after = state.copy()
            after.remaining_restarts -= 1
            after.coordinators[number] = self._start_coordinator(after)
            yield Transition(f"coordinator {number} is killed and starts again without its state", after)

    def find_violation(self, state: FleetState) -> str | None:
        """Return a description of two lease holders of the fraction or grants above the budget, or None."""
        lease_holders = [
            coordinator.incarnation
            for coordinator in state.coordinators
            if coordinator.candidate.holds(state.now, FRACTION)
        ]
        if len(lease_holders) > 1:
            return f"two lease holders of one fraction: {', '.join(lease_holders)}"
        quota = sum(holder.quota(state.now) for holder in state.holders)
        return f"{quota} of one unit may be held" if quota > ONE_UNIT_BUDGET.total else None

    def state_key(self, state: FleetState) -> Hashable:
        """Return the state's key, which has times relative to now."""
        return state.key()


def _deliver(state: FleetState, envelope: Envelope) -> None:
    """Let the destination handle the message, and add its reply to the messages in flight."""
    process, _, incarnation = envelope.destination[1:].partition(".")
    number = int(process)
    message = envelope.message
    match message:
        case FractionLeaseRequest():
            vote = state.coordinators[number].voter.on_request(state.now, message)
            state.in_flight.append(Envelope(f"k{1 - number}", vote))
        case FractionLeaseVote():
            state.coordinators[number].candidate.on_vote(message)
        case GrantRequest():
            _deliver_grant_request(state, state.coordinators[number], message)
        case Grant() if incarnation == str(state.broker_incarnations[number]):
            state.holders[number].on_grant(state.now, message)


def _deliver_grant_request(state: FleetState, coordinator: CoordinatorState, request: GrantRequest) -> None:
    lease_expires_at = coordinator.candidate.lease_expires_at_us(FRACTION)
    if lease_expires_at is None or lease_expires_at <= state.now:
        return
    grant = coordinator.ledger.on_request(state.now, request, lease_expires_at)
    if grant.amount:
        state.in_flight.append(Envelope(request.member, grant))


def _describe(envelope: Envelope) -> str:
    process = "coordinator" if envelope.destination.startswith("k") else "broker"
    return f"{_describe_message(envelope.message)}, to {process} {envelope.destination[1:]}"


def _describe_message(message: Message) -> str:
    tick = message.requested_at_us
    match message:
        case FractionLeaseRequest(candidate=candidate):
            return f"{candidate}'s lease request of tick {tick}"
        case FractionLeaseVote(holder=holder):
            return f"a vote for {holder or 'nobody'} on a lease request of tick {tick}"
        case GrantRequest(member=member, releasing=releasing):
            return f"{member}'s {'release' if releasing else 'request'} of tick {tick}"
        case Grant(amount=amount, grantor=grantor):
            return f"a grant of {amount} by {grantor}, requested at tick {tick}"
