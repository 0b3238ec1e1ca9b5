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
    COUNT,
    Ask,
    Budget,
    Claim,
    Claimant,
    Giver,
    Grant,
    Holder,
    Lease,
    Vote,
    Voter,
)

UNIT = Budget("unit", COUNT, 1, 0, 2, fractions=1, floor=0)
KEEPERS, BROKERS = 2, 2


@dataclass(slots=True)
class KeeperRun:
    """One run of a keeper."""

    voter: Voter
    claimant: Claimant
    giver: Giver
    run: str


@dataclass(slots=True)
class State:
    """All there is. ``flying`` are messages: (to, what); ``restarts`` are left to happen."""

    now: int
    keepers: list[KeeperRun]
    holders: list[Holder]
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
        voter: type[Voter] = Voter,
        giver: type[Giver] = Giver,
        holder: type[Holder] = Holder,
        grant_us: int = 2,
        promise_us: int = 4,
        flying: int = 2,
        restarts: int = 1,
        claims: bool = True,
        asks: bool = True,
        owned: bool = False,
        held: bool = False,
    ) -> None:
        self.voter, self.giver, self.holder = voter, giver, holder
        self.grant, self.promise = Lease(grant_us, 0.0), Lease(promise_us, 0.0)
        self.flying, self.restarts, self.claims, self.asks = flying, restarts, claims, asks
        self.owned, self.held = owned, held

    def initial(self) -> State:
        """All have been up for long enough to vote."""
        state = State(0, [], [self.holder(UNIT, 0.0, 0) for _ in range(BROKERS)], restarts=self.restarts)
        state.keepers = [self._keeper(state) for _ in range(KEEPERS)]
        first = Claim(0, state.keepers[0].run, 0)
        for keeper in state.keepers:
            keeper.voter.silent_until = 0  # the wait at the start shows after a restart
            if self.owned:
                state.keepers[0].claimant.voted(keeper.voter.asked(0, first))
        if self.held:
            self._arrives(state, "k0", Ask("b0.0", 1, 0))
            self._arrives(state, *state.flying.pop())
        return state

    def _keeper(self, state: State) -> KeeperRun:
        run = f"run{state.runs}"
        state.runs += 1
        claimant = Claimant(run, 0, 1, KEEPERS, self.promise, state.now, 0)
        return KeeperRun(
            self.voter(run, state.now, self.promise), claimant, self.giver(UNIT, 0, run, self.grant), run
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
            claim = Claim(0, keeper.run, after.now)
            keeper.claimant.voted(keeper.voter.asked(after.now, claim))
            after.flying.append((f"k{1 - number}", claim))
            yield f"keeper {number} ({keeper.run}) votes for itself and claims", after
        for broker in range(BROKERS) if self.asks else ():
            for number in range(KEEPERS):
                after = _copy(state)
                member = f"b{broker}.{after.incarnations[broker]}"
                ask = after.holders[broker].ask(after.now, 0, after.keepers[number].run, member)
                ask = Ask(ask.member, 1, ask.asked_us, ask.goes_by)
                after.flying.append((f"k{number}", ask))
                yield f"broker {broker} asks keeper {number}", after
                if after.holders[broker].share(after.now):
                    gives = _copy(state)
                    gives.holders[broker] = self.holder(UNIT, 0.0, gives.now)
                    gives.incarnations[broker] += 1
                    gives.flying.append((f"k{number}", Ask(member, 0, gives.now, lets_go=True)))
                    yield f"broker {broker} lets go, tells keeper {number}, and comes back", gives

    def _arrives(self, state: State, to: str, message: Any) -> None:
        number, _, incarnation = to[1:].partition(".")
        self._heard(state, int(number), incarnation, message)

    def _heard(self, state: State, number: int, incarnation: str, message: Any) -> None:
        match message:
            case Claim():
                vote = state.keepers[number].voter.asked(state.now, message)
                state.flying.append((f"k{1 - number}", vote))
            case Vote():
                state.keepers[number].claimant.voted(message)
            case Ask():
                keeper = state.keepers[number]
                until = keeper.claimant.owned_until(0)
                if until > state.now:
                    grant = keeper.giver.asked(state.now, message, until)
                    if grant.amount:
                        state.flying.append((message.member, grant))
            case Grant() if incarnation == str(state.incarnations[number]):
                state.holders[number].granted(state.now, message)

    @staticmethod
    def _words(to: str, message: Any) -> str:
        who = f"{'keeper' if to[0] == 'k' else 'broker'} {to[1:]}"
        match message:
            case Claim(claimant=run, asked_us=at):
                return f"{run}'s claim of tick {at} to {who}"
            case Vote(owner=owner, asked_us=at):
                return f"a vote for {owner or 'nobody'} on a claim of tick {at} to {who}"
            case Ask(member=member, lets_go=lets_go, asked_us=at):
                return f"{member} {'lets go' if lets_go else 'asks'}, of tick {at}, to {who}"
            case _:
                return (
                    f"a grant of {message.amount} by {message.owner}, asked at tick {message.asked_us}, "
                    f"to {who}"
                )

    def broken(self, state: State) -> str:
        """What must never be."""
        owners = [keeper.run for keeper in state.keepers if keeper.claimant.owned_until(0) > state.now]
        if len(owners) > 1:
            return f"two owners of one fraction: {', '.join(owners)}"
        may = sum(holder.share(state.now) for holder in state.holders)
        return f"{may} of one unit may be held" if may > UNIT.whole else ""

    def key(self, state: State) -> Hashable:
        """Times from now; what has run out is alike."""
        now = state.now

        def ends(until: int) -> int:
            return max(until - now, 0)

        keepers = tuple(
            (
                keeper.run,
                ends(keeper.voter.silent_until),
                tuple((owner, ends(until)) for owner, until in keeper.voter.promised.values() if until > now),
                tuple(
                    sorted(
                        (who, ends(until))
                        for who, until in keeper.claimant.votes[0].until.items()
                        if until > now
                    )
                ),
                tuple(
                    (
                        member,
                        tuple(
                            (number, amount, ends(until))
                            for number, (amount, until) in given.grants.items()
                            if until > now
                        ),
                        max(given.wished_us - now, -4),
                        given.wish.demand,
                    )
                    for member, given in sorted(keeper.giver.given.items())
                ),
                keeper.giver.number,
            )
            for keeper in state.keepers
        )
        holders = tuple(
            (
                tuple(
                    (held.owner, held.number, held.amount, ends(held.until))
                    for held in holder.held.values()
                    if held.until > now
                ),
                tuple(holder.seen.items()),
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
        values["asked_us"] -= now
        return tuple(values.values())


def _copy(state: State) -> State:
    """Some times quicker than the copy module's."""
    copied: State = pickle.loads(pickle.dumps(state, pickle.HIGHEST_PROTOCOL))
    return copied
