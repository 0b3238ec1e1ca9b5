"""The agent inside a broker: renews its shares with all keepers, and says what may be used at this moment.

No query waits for it. Without keepers, and while they are gone, what may be used is the broker's own minimum.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Protocol

from heathwell.budgets import COUNT, Budget, Holder
from heathwell.budgets.keeper import Times
from heathwell.budgets.shares import Shares
from heathwell.codec import frames
from heathwell.control import messages
from heathwell.control.keeper import MEMBER_ROLE
from heathwell.control.link import ControlLink
from heathwell.evacuation import Decision, Summary
from heathwell.eventlog import EventLog, NoEvents
from heathwell.kernel import Loop, Net
from heathwell.membership import Lived, Self


class Zones(Protocol):
    """A broker's sight of zones."""

    def summary(self, now: int) -> Summary:
        """Its word."""

    def decided(self, decision: Decision) -> None:
        """A decision newer than any before."""


class FleetAgent:
    """``on_death`` is called, with the reason, before anything else is done by a broker that finds itself dead."""

    def __init__(self, loop: Loop, net: Net, member: Self, budgets: tuple[Budget, ...], keepers: tuple[str, ...], *,
                 renew_us: int, times: Times, seed: int, log: Callable[..., None],
                 events: EventLog | None = None, fleet: str = "") -> None:
        self.loop, self.log, self.renew_us = loop, log, renew_us
        self.events: EventLog = events or NoEvents()
        self.shares = Shares(member, budgets, keepers, loop.now(), times, seed)
        self.counts: Counter[tuple[str, ...]] = Counter()
        self.on_death: Callable[[str], None] = lambda _why: None
        self.leaves = self.closed = False
        self.zones: Zones | None = None
        self.decision = Decision(0, 0)
        self._noted: dict[str, tuple[int, ...]] = {}
        silence = 2 * times.roll.suspect_us
        self.links = {address: ControlLink(
            loop, net, address, member.name, MEMBER_ROLE, silence_us=silence, seed=seed * 64 + number,
            heard=partial(self._answered, address), log=log, fleet=fleet)
            for number, address in enumerate(keepers)}
        self.events("joins", name=member.name, inc=member.incarnation)
        loop.call_soon(self._renew)

    @property
    def member(self) -> Self:
        """This broker's own side of its membership."""
        return self.shares.member

    def turn(self) -> int:
        """Before anything is used, each turn; returns the time by which it may be."""
        now = self.loop.now()
        self._lived(self.shares.turn(now))
        return now

    def take(self, budget: str, thousandths: int = 1_000) -> bool:
        """Use a unit now, by the clock of now; of a count until it is given back."""
        now = self.turn()
        holder = self.shares.holder(now, budget)
        if holder is None:
            return False
        free = holder.take(now, thousandths)
        if self.events.on:
            self._note(now, budget, holder)
            if free and holder.budget.kind != COUNT:
                self.events("spends", budget=budget, amount=thousandths)
        return free

    def give_back(self, budget: str) -> None:
        """A unit of a count has been let go."""
        holder = self.shares.holders.get(budget)
        if holder is not None and holder.used:
            holder.give_back()
            self._note(self.loop.now(), budget, holder)

    def holder(self, budget: str) -> Holder | None:
        """The holder of a budget, for room, demand and excess; None where no such budget is set."""
        return self.shares.holder(self.loop.now(), budget)

    def budget(self, name: str) -> tuple[int, int] | None:
        """Whole and linger (us) of a budget that is set; None where it is not."""
        budget = self.shares.budgets.get(name)
        return (budget.whole, budget.linger_us) if budget is not None else None

    def figures(self) -> dict[str, dict[str, float]]:
        """By budget: its share (units, of a rate a second), what was used and refused; those of each host summed."""
        now, out = self.loop.now(), dict[str, dict[str, float]]()
        for name, holder in self.shares.holders.items():
            row = out.setdefault(name.partition("@")[0], dict.fromkeys(("share", "in use", "used", "refused"), 0.0))
            row["share"] += holder.share(now) / (1 if holder.budget.kind == COUNT else 1_000)
            row["in use"] += holder.used
            row["used"] += holder.passed
            row["refused"] += holder.refused
        return out

    def on_zones(self, zones: Zones) -> None:
        """Say a broker's word on zones with each renewal, and tell it what is decided."""
        self.zones = zones

    def leave(self) -> None:
        """Say that this broker ends, as far as it is heard."""
        self.leaves = True
        self._say(self.turn())

    def close(self) -> None:
        """Renew no more."""
        self.closed = True
        for link in self.links.values():
            link.close()

    def _renew(self) -> None:
        if not self.closed and not self.leaves:
            self._say(self.turn())
            self.loop.call_at(self.loop.now() + self.renew_us, self._renew)

    def _say(self, now: int) -> None:
        word = self.zones.summary(now) if self.zones is not None else None
        renewals = self.shares.renewals(now, leaves=self.leaves)
        if self.leaves and self.events.on:
            for name, holder in self.shares.holders.items():
                self._note(now, name, holder)
            self.events.flush()  # type: ignore[attr-defined]  # on record before anybody hears that it is free
        for address, renew in renewals:
            message = messages.renew_out(renew)
            if word is not None:
                message.seen, message.cut_off = messages.seen_out(word), word.cut_off
                message.decision = messages.decision_out(self.decision)
            if self.links[address].send(message):
                self.counts["renewals",] += 1
        if self.events.on:
            for name, holder in self.shares.holders.items():
                self._note(now, name, holder)

    def _answered(self, address: str, message: frames.Any_) -> None:
        if not isinstance(message, frames.Renewed):
            return
        now = self.turn()
        if self.leaves:
            return  # what comes now was asked for before
        decision = messages.decision_in(message.decision)
        if self.zones is not None and decision.newer(self.decision):
            self.decision = decision
            self.zones.decided(decision)
        self._lived(self.shares.renewed(now, address, messages.renewed_in(message)))
        if self.events.on:
            for name in sorted({grant.budget for grant in message.grants} & self.shares.holders.keys()):
                self._note(now, name, self.shares.holders[name])

    def _lived(self, lived: Lived) -> None:
        if lived.died:
            self.counts["deaths",] += 1
            self.events("dies", why=lived.died, inc=self.member.incarnation)
            self.log("warning", "this broker was taken for dead: it holds nothing, and comes again", why=lived.died,
                     incarnation=self.member.incarnation)
            for name, holder in self.shares.holders.items():
                self._note(self.loop.now(), name, holder)
            self.on_death(lived.died)

    def _note(self, now: int, name: str, holder: Holder) -> None:
        """What is held, by fraction with how long yet (own clock), and of a count what is used: for auditors."""
        if not self.events.on:
            return
        share = holder.share(now)
        state = (share, holder.used, *(held.until for held in holder.held.values()))
        if self._noted.get(name) != state:
            self._noted[name] = state
            self.events("holds", budget=name, own=holder.budget.own, used=holder.used,
                        held=[[fraction, held.amount, held.until - self.loop.now(), held.owner, held.number]
                              for fraction, held in holder.held.items()])
