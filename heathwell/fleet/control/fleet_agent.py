"""The agent inside a broker: renews its shares with all keepers, and says what may be used at this moment.

No query waits for it. Without keepers, and while they are gone, what may be used is the broker's own minimum.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import Protocol

from heathwell.codec import frames
from heathwell.fleet.control import messages
from heathwell.fleet.control.link import ControlLink
from heathwell.fleet.control.quota_coordinator import MEMBER_ROLE
from heathwell.fleet.evacuation import BrokerReport, Decision
from heathwell.fleet.membership import IncarnationEnded, LocalMember
from heathwell.fleet.quotas import BrokerQuotas, Budget, BudgetKind, QuotaHolder, QuotaTimings
from heathwell.kernel import Loop, Net
from heathwell.observability.event_log import EventLog, NoEvents


class Zones(Protocol):
    """A broker's sight of zones."""

    def report(self, now: int) -> BrokerReport:
        """Its word."""

    def on_decision(self, decision: Decision) -> None:
        """A decision newer than any before."""


class FleetAgent:
    """``on_death`` is called, with the reason, before anything else is done by a broker that finds itself
    dead.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        member: LocalMember,
        budgets: tuple[Budget, ...],
        keepers: tuple[str, ...],
        *,
        renew_us: int,
        times: QuotaTimings,
        seed: int,
        log: Callable[..., None],
        events: EventLog | None = None,
        fleet: str = "",
    ) -> None:
        self.loop, self.log, self.renewal_interval_us = loop, log, renew_us
        self.events: EventLog = events or NoEvents()
        self.quotas = BrokerQuotas(member, budgets, keepers, loop.now(), times, seed)
        self.counts: Counter[tuple[str, ...]] = Counter()
        self.on_incarnation_ended: Callable[[str], None] = lambda _why: None
        self.is_leaving = self.is_closed = False
        self.zone_observer: Zones | None = None
        self.decision = Decision(0, 0)
        self._logged_states: dict[str, tuple[int, ...]] = {}
        silence = 2 * times.membership.suspect_timeout_us
        self.links = {
            address: ControlLink(
                loop,
                net,
                address,
                member.name,
                MEMBER_ROLE,
                silence_us=silence,
                seed=seed * 64 + number,
                on_message=partial(self._on_message, address),
                log=log,
                fleet=fleet,
            )
            for number, address in enumerate(keepers)
        }
        self.events("joins", name=member.name, inc=member.incarnation)
        loop.call_soon(self._renew)

    @property
    def member(self) -> LocalMember:
        """This broker's own side of its membership."""
        return self.quotas.member

    def check_incarnation(self) -> int:
        """Before anything is used, each turn; returns the time by which it may be."""
        now = self.loop.now()
        self._on_incarnation_ended(self.quotas.check_clock(now))
        return now

    def acquire(self, budget: str, thousandths: int = 1_000) -> bool:
        """Use a unit now, by the clock of now; of a count until it is given back."""
        now = self.check_incarnation()
        holder = self.quotas.holder(now, budget)
        if holder is None:
            return False
        free = holder.acquire(now, thousandths)
        if self.events.on:
            self._log_holder(now, budget, holder)
            if free and holder.budget.kind != BudgetKind.COUNT:
                self.events("spends", budget=budget, amount=thousandths)
        return free

    def release(self, budget: str) -> None:
        """A unit of a count has been let go."""
        holder = self.quotas.holders.get(budget)
        if holder is not None and holder.in_use:
            holder.release()
            self._log_holder(self.loop.now(), budget, holder)

    def holder(self, budget: str) -> QuotaHolder | None:
        """The holder of a budget, for room, demand and excess; None where no such budget is set."""
        return self.quotas.holder(self.loop.now(), budget)

    def budget(self, name: str) -> tuple[int, int] | None:
        """Whole and linger (us) of a budget that is set; None where it is not."""
        budget = self.quotas.budgets.get(name)
        return (budget.total, budget.linger_timeout_us) if budget is not None else None

    def statistics(self) -> dict[str, dict[str, float]]:
        """By budget: its share (units, of a rate a second), what was used and refused; those of each host
        summed.
        """
        now, out = self.loop.now(), dict[str, dict[str, float]]()
        for name, holder in self.quotas.holders.items():
            row = out.setdefault(
                name.partition("@")[0], dict.fromkeys(("share", "in use", "used", "refused"), 0.0)
            )
            row["share"] += holder.quota(now) / (1 if holder.budget.kind == BudgetKind.COUNT else 1_000)
            row["in use"] += holder.in_use
            row["used"] += holder.admitted
            row["refused"] += holder.rejected
        return out

    def attach_zone_observer(self, zones: Zones) -> None:
        """Say a broker's word on zones with each renewal, and tell it what is decided."""
        self.zone_observer = zones

    def leave(self) -> None:
        """Say that this broker ends, as far as it is heard."""
        self.is_leaving = True
        self._send_renewals(self.check_incarnation())

    def close(self) -> None:
        """Renew no more."""
        self.is_closed = True
        for link in self.links.values():
            link.close()

    def _renew(self) -> None:
        if not self.is_closed and not self.is_leaving:
            self._send_renewals(self.check_incarnation())
            self.loop.call_at(self.loop.now() + self.renewal_interval_us, self._renew)

    def _send_renewals(self, now: int) -> None:
        word = self.zone_observer.report(now) if self.zone_observer is not None else None
        renewals = self.quotas.renewals(now, leaving=self.is_leaving)
        if self.is_leaving and self.events.on:
            for name, holder in self.quotas.holders.items():
                self._log_holder(now, name, holder)
            # on record before anybody hears that it is free
            self.events.flush()  # type: ignore[attr-defined]
        for addressed in renewals:
            message = messages.renewal_to_frame(addressed.renewal)
            if word is not None:
                message.seen, message.cut_off = messages.broker_report_to_frames(word), word.cut_off
                message.decision = messages.decision_to_frame(self.decision)
            if self.links[addressed.coordinator].send(message):
                self.counts["renewals",] += 1
        if self.events.on:
            for name, holder in self.quotas.holders.items():
                self._log_holder(now, name, holder)

    def _on_message(self, address: str, message: frames.AnyMessage) -> None:
        if not isinstance(message, frames.RenewalReply):
            return
        now = self.check_incarnation()
        if self.is_leaving:
            return  # what comes now was asked for before
        decision = messages.decision_from_frame(message.decision)
        if self.zone_observer is not None and decision.is_newer_than(self.decision):
            self.decision = decision
            self.zone_observer.on_decision(decision)
        self._on_incarnation_ended(
            self.quotas.on_reply(now, address, messages.renewal_reply_from_frame(message))
        )
        if self.events.on:
            for name in sorted({grant.budget for grant in message.grants} & self.quotas.holders.keys()):
                self._log_holder(now, name, self.quotas.holders[name])

    def _on_incarnation_ended(self, ended: IncarnationEnded | None) -> None:
        if ended is not None:
            self.counts["deaths",] += 1
            self.events("dies", why=ended.reason, inc=self.member.incarnation)
            self.log(
                "warning",
                "this broker was taken for dead: it holds nothing, and comes again",
                why=ended.reason,
                incarnation=self.member.incarnation,
            )
            for name, holder in self.quotas.holders.items():
                self._log_holder(self.loop.now(), name, holder)
            self.on_incarnation_ended(ended.reason)

    def _log_holder(self, now: int, name: str, holder: QuotaHolder) -> None:
        """What is held, by fraction with how long yet (own clock), and of a count what is used: for
        auditors.
        """
        if not self.events.on:
            return
        share = holder.quota(now)
        state = (share, holder.in_use, *(held.expires_at_us for held in holder.grants.values()))
        if self._logged_states.get(name) != state:
            self._logged_states[name] = state
            self.events(
                "holds",
                budget=name,
                own=holder.budget.broker_minimum,
                used=holder.in_use,
                held=[
                    [fraction, held.amount, held.expires_at_us - self.loop.now(), held.grantor, held.number]
                    for fraction, held in holder.grants.items()
                ],
            )
