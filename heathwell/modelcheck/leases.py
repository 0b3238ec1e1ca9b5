"""The lease in a small world: two keepers that vote and lend, two brokers, one unit; loss, restart and
expiry.

Time goes on in ticks; the lease is a few of them and clocks agree, so that only the order of things is
explored. The promise outlasts the grant as in a fleet. Both keepers claim the one fraction, which is the
hardest case for a promise.
"""

from __future__ import annotations

import pickle
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from typing import Any

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

UNIT = Budget("unit", BudgetKind.COUNT, 1, 0, 2, fraction_count=1, minimum_grant=0)
KEEPERS, BROKERS = 2, 2


@dataclass(slots=True)
class KeeperRun:
    """One run of a keeper."""

    voter: LeaseVoter
    candidate: LeaseCandidate
    ledger: FractionLedger
    run: str


@dataclass(slots=True)
class State:
    """All there is. ``flying`` are messages: (to, what); ``restarts`` are left to happen."""

    now: int
    keepers: list[KeeperRun]
    holders: list[QuotaHolder]
    flying: list[tuple[str, Any]] = field(default_factory=list)
    incarnations: list[int] = field(default_factory=lambda: [0] * BROKERS)
    restarts: int = 1
    runs: int = 0


class LeaseWorld:
    """The types are parameters, so that a test can plant a bug in one. ``claims`` and ``asks`` choose what is
    sent; ``owned``: it begins with the first keeper as the owner, by votes of now; ``held``: and the first
    broker with the unit. A broker that has let go comes back as another incarnation, to which earlier answers
    are none.
    """

    def __init__(
        self,
        *,
        voter: type[LeaseVoter] = LeaseVoter,
        ledger: type[FractionLedger] = FractionLedger,
        holder: type[QuotaHolder] = QuotaHolder,
        grant_us: int = 2,
        promise_us: int = 4,
        flying: int = 2,
        restarts: int = 1,
        claims: bool = True,
        asks: bool = True,
        owned: bool = False,
        held: bool = False,
    ) -> None:
        self.voter, self.ledger, self.holder = voter, ledger, holder
        self.grant, self.promise = Lease(grant_us, 0.0), Lease(promise_us, 0.0)
        self.flying, self.restarts, self.claims, self.asks = flying, restarts, claims, asks
        self.owned, self.held = owned, held

    def initial(self) -> State:
        """All have been up for long enough to vote."""
        state = State(0, [], [self.holder(UNIT, 0.0, 0) for _ in range(BROKERS)], restarts=self.restarts)
        state.keepers = [self._keeper(state) for _ in range(KEEPERS)]
        first = FractionLeaseRequest(0, state.keepers[0].run, 0)
        for keeper in state.keepers:
            keeper.voter.silent_until_us = 0  # the wait at the start shows after a restart
            if self.owned:
                state.keepers[0].candidate.on_vote(keeper.voter.on_request(0, first))
        if self.held:
            self._arrives(state, "k0", GrantRequest("b0.0", 1, 0))
            self._arrives(state, *state.flying.pop())
        return state

    def _keeper(self, state: State) -> KeeperRun:
        run = f"run{state.runs}"
        state.runs += 1
        candidate = LeaseCandidate(run, 0, 1, KEEPERS, self.promise, state.now, 0)
        return KeeperRun(
            self.voter(run, state.now, self.promise), candidate, self.ledger(UNIT, 0, run, self.grant), run
        )

    def moves(self, state: State) -> Iterator[tuple[str, State]]:
        """A tick; a claim; an ask; a message that arrives or is lost; a give-back; a restart."""
        after = _copy(state)
        after.now += 1
        yield "a tick", after
        if len(state.flying) < self.flying:
            yield from self._sends(state)
        for number in range(len(state.flying)):
            after = _copy(state)
            to, message = after.flying.pop(number)
            yield f"lost: {self._words(to, message)}", after
            after = _copy(state)
            to, message = after.flying.pop(number)
            self._arrives(after, to, message)
            yield f"arrives: {self._words(to, message)}", after
        if state.restarts:
            for number in range(KEEPERS):
                after = _copy(state)
                after.restarts -= 1
                after.keepers[number] = self._keeper(after)
                yield f"keeper {number} is killed and starts again, nothing remembered", after

    def _sends(self, state: State) -> Iterator[tuple[str, State]]:
        for number in range(KEEPERS) if self.claims else ():
            after = _copy(state)
            keeper = after.keepers[number]
            claim = FractionLeaseRequest(0, keeper.run, after.now)
            keeper.candidate.on_vote(keeper.voter.on_request(after.now, claim))
            after.flying.append((f"k{1 - number}", claim))
            yield f"keeper {number} ({keeper.run}) votes for itself and claims", after
        for broker in range(BROKERS) if self.asks else ():
            for number in range(KEEPERS):
                after = _copy(state)
                member = f"b{broker}.{after.incarnations[broker]}"
                ask = after.holders[broker].request(after.now, 0, after.keepers[number].run, member)
                ask = GrantRequest(ask.member, 1, ask.requested_at_us, ask.active_grant_number)
                after.flying.append((f"k{number}", ask))
                yield f"broker {broker} asks keeper {number}", after
                if after.holders[broker].quota(after.now):
                    gives = _copy(state)
                    gives.holders[broker] = self.holder(UNIT, 0.0, gives.now)
                    gives.incarnations[broker] += 1
                    gives.flying.append((f"k{number}", GrantRequest(member, 0, gives.now, releasing=True)))
                    yield f"broker {broker} lets go, tells keeper {number}, and comes back", gives

    def _arrives(self, state: State, to: str, message: Any) -> None:
        number, _, incarnation = to[1:].partition(".")
        self._heard(state, int(number), incarnation, message)

    def _heard(self, state: State, number: int, incarnation: str, message: Any) -> None:
        match message:
            case FractionLeaseRequest():
                vote = state.keepers[number].voter.on_request(state.now, message)
                state.flying.append((f"k{1 - number}", vote))
            case FractionLeaseVote():
                state.keepers[number].candidate.on_vote(message)
            case GrantRequest():
                keeper = state.keepers[number]
                until = keeper.candidate.lease_expires_at_us(0)
                if until is not None and until > state.now:
                    grant = keeper.ledger.on_request(state.now, message, until)
                    if grant.amount:
                        state.flying.append((message.member, grant))
            case Grant() if incarnation == str(state.incarnations[number]):
                state.holders[number].on_grant(state.now, message)

    @staticmethod
    def _words(to: str, message: Any) -> str:
        who = f"{'keeper' if to[0] == 'k' else 'broker'} {to[1:]}"
        match message:
            case FractionLeaseRequest(candidate=run, requested_at_us=at):
                return f"{run}'s claim of tick {at} to {who}"
            case FractionLeaseVote(holder=holder, requested_at_us=at):
                return f"a vote for {holder or 'nobody'} on a claim of tick {at} to {who}"
            case GrantRequest(member=member, releasing=releasing, requested_at_us=at):
                return f"{member} {'lets go' if releasing else 'asks'}, of tick {at}, to {who}"
            case _:
                return (
                    f"a grant of {message.amount} by {message.grantor}, "
                    f"asked at tick {message.requested_at_us}, to {who}"
                )

    def broken(self, state: State) -> str:
        """What must never be."""
        owners = [keeper.run for keeper in state.keepers if keeper.candidate.holds(state.now, 0)]
        if len(owners) > 1:
            return f"two owners of one fraction: {', '.join(owners)}"
        may = sum(holder.quota(state.now) for holder in state.holders)
        return f"{may} of one unit may be held" if may > UNIT.total else ""

    def key(self, state: State) -> Hashable:
        """Times from now; what has run out is alike."""
        now = state.now

        def ends(until: int) -> int:
            return max(until - now, 0)

        keepers = tuple(
            (
                keeper.run,
                ends(keeper.voter.silent_until_us),
                tuple(
                    (vote.candidate, ends(vote.expires_at_us))
                    for vote in keeper.voter.votes.values()
                    if vote.expires_at_us > now
                ),
                tuple(
                    sorted(
                        (who, ends(until))
                        for who, until in keeper.candidate.votes[0].expires_at_us.items()
                        if until > now
                    )
                ),
                tuple(
                    (
                        member,
                        tuple(
                            (number, held.amount, ends(held.expires_at_us))
                            for number, held in account.grants.items()
                            if held.expires_at_us > now
                        ),
                        max(account.requested_at_us - now, -4),
                        account.request.demand,
                    )
                    for member, account in sorted(keeper.ledger.accounts.items())
                ),
                keeper.ledger.last_grant_number,
            )
            for keeper in state.keepers
        )
        holders = tuple(
            (
                tuple(
                    (held.grantor, held.number, held.amount, ends(held.expires_at_us))
                    for held in holder.grants.values()
                    if held.expires_at_us > now
                ),
                tuple(holder.latest_numbers.items()),
            )
            for holder in state.holders
        )
        flying = tuple(
            sorted((to, type(message).__name__, self._flat(message, now)) for to, message in state.flying)
        )
        return keepers, holders, flying, state.restarts, tuple(state.incarnations)

    @staticmethod
    def _flat(message: Any, now: int) -> tuple[Any, ...]:
        values = {name: getattr(message, name) for name in message.__dataclass_fields__}
        values["requested_at_us"] -= now
        # Sorted by the caller, and None (a vote for nobody) has no order beside names.
        return tuple("" if value is None else value for value in values.values())


def _copy(state: State) -> State:
    """Some times quicker than the copy module's."""
    copied: State = pickle.loads(pickle.dumps(state, pickle.HIGHEST_PROTOCOL))
    return copied
