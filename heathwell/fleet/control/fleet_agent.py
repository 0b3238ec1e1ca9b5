"""The agent inside a broker: renews its quotas with all quota coordinators, and admits uses within them.

It owns this broker's quotas, the links to the coordinators and the renewal timer. No query waits for it: the
broker's reserved minimum is available also while no coordinator is reachable. Imports: `heathwell.fleet`
(evacuation, membership, quotas), the frames' converters and the event loop.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from heathwell.codec import frames
from heathwell.eventloop import Loop, Net
from heathwell.fleet.control import messages
from heathwell.fleet.control.link import MEMBER_ROLE, ControlLink
from heathwell.fleet.evacuation import BrokerReport, Decision
from heathwell.fleet.membership import IncarnationEnded, LocalMember
from heathwell.fleet.quotas import (
    BrokerQuotas,
    Budget,
    BudgetKind,
    BudgetStatistics,
    QuotaHolder,
    QuotaTimings,
    statistics_by_budget,
)
from heathwell.observability.event_log import EventLog, NullEventLog

SUSPECT_TIMEOUTS_PER_SILENCE_TIMEOUT = 2  # a coordinator that is silent for longer counts as lost
SEEDS_PER_MEMBER = 64  # each link of a member has its own seed
MILLIUNITS_PER_UNIT = 1_000


class ZoneObserver(Protocol):
    """Reports a broker's observations of zones, and applies decisions on zones."""

    def report(self, now: int) -> BrokerReport:
        """Return the broker's report at ``now`` (us)."""

    def on_decision(self, decision: Decision) -> None:
        """Apply a decision that is newer than all before."""


class FleetAgent:
    """The agent of one broker; renewals begin in the next iteration of the event loop.

    ``coordinators`` are the addresses of all quota coordinators, in the order of their numbers. Reports and
    decisions on zones are exchanged only while a ``zone_observer`` is attached.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        member: LocalMember,
        budgets: Sequence[Budget],
        coordinators: Sequence[str],
        *,
        renewal_interval_us: int,
        timings: QuotaTimings,
        seed: int,
        log: Callable[..., None],
        events: EventLog | None = None,
        fleet: str = "",
    ) -> None:
        self.loop = loop
        self.log = log
        self.renewal_interval_us = renewal_interval_us
        self.events: EventLog = events or NullEventLog()
        self.quotas = BrokerQuotas(member, budgets, coordinators, loop.now(), timings, seed)
        self.counts: Counter[tuple[str, ...]] = Counter()
        self.is_leaving = False
        self.is_closed = False
        self.zone_observer: ZoneObserver | None = None
        self.decision = Decision(0, 0)
        self._logged_states: dict[str, tuple[int, ...]] = {}
        self.links = self._links(net, coordinators, timings, seed, fleet)
        self.events("joins", name=member.name, inc=member.incarnation)
        loop.call_soon(self._renew)

    def _links(
        self, net: Net, coordinators: Sequence[str], timings: QuotaTimings, seed: int, fleet: str
    ) -> dict[str, ControlLink]:
        """Return the links to the coordinators by address."""
        return {
            address: ControlLink(
                self.loop,
                net,
                address,
                self.member.name,
                MEMBER_ROLE,
                silence_timeout_us=SUSPECT_TIMEOUTS_PER_SILENCE_TIMEOUT
                * timings.membership.suspect_timeout_us,
                seed=seed * SEEDS_PER_MEMBER + number,
                on_message=partial(self._on_message, address),
                log=self.log,
                fleet=fleet,
            )
            for number, address in enumerate(coordinators)
        }

    @property
    def member(self) -> LocalMember:
        """This broker's own side of its membership."""
        return self.quotas.member

    def check_incarnation(self) -> int:
        """End the incarnation if the process was suspended for too long; return the current time (us).

        Must be called before any quota is used.
        """
        now = self.loop.now()
        self._on_incarnation_ended(self.quotas.check_clock(now))
        return now

    def acquire(self, budget: str, milliunits: int = MILLIUNITS_PER_UNIT) -> bool:
        """Use an amount of a rate, or one unit of a count until :meth:`release`.

        Returns False if the quota does not allow it or the budget is unknown.
        """
        now = self.check_incarnation()
        holder = self.quotas.holder(now, budget)
        if holder is None:
            return False
        is_acquired = holder.acquire(now, milliunits)
        if self.events.is_enabled:
            self._log_holder(now, budget, holder)
            if is_acquired and holder.budget.kind != BudgetKind.COUNT:
                self.events("spends", budget=budget, amount=milliunits)
        return is_acquired

    def release(self, budget: str) -> None:
        """Release a unit of a count, if one is in use."""
        now = self.check_incarnation()
        holder = self.quotas.holders.get(budget)
        if holder is not None and holder.in_use:
            holder.release()
            self._log_holder(now, budget, holder)

    def holder(self, budget: str) -> QuotaHolder | None:
        """Return the holder of a budget, for its quota, demand and excess; None for an unknown budget."""
        return self.quotas.holder(self.loop.now(), budget)

    def budget(self, name: str) -> Budget | None:
        """Return the fleet-wide budget of this name; None for an unknown one."""
        return self.quotas.budgets.get(name)

    def statistics(self) -> dict[str, BudgetStatistics]:
        """Return this broker's statistics by budget for the metrics page, summed over endpoints."""
        return statistics_by_budget(self.quotas.holders.values(), self.loop.now())

    def attach_zone_observer(self, zone_observer: ZoneObserver) -> None:
        """Send the observer's report with each renewal, and pass each new decision to it."""
        self.zone_observer = zone_observer

    def leave(self) -> None:
        """Notify the reachable coordinators that this broker leaves, and stop renewing."""
        self.is_leaving = True
        self._send_renewals(self.check_incarnation())

    def close(self) -> None:
        """Close all links and stop renewing."""
        self.is_closed = True
        for link in self.links.values():
            link.close()

    def _renew(self) -> None:
        if not self.is_closed and not self.is_leaving:
            self._send_renewals(self.check_incarnation())
            self.loop.call_at(self.loop.now() + self.renewal_interval_us, self._renew)

    def _send_renewals(self, now: int) -> None:
        """Send a renewal to each coordinator. A leaving broker first writes its releases to the event log."""
        report = self.zone_observer.report(now) if self.zone_observer is not None else None
        renewals = self.quotas.renewals(now, leaving=self.is_leaving)
        if self.is_leaving and self.events.is_enabled:
            self._log_holders(now)
            self.events.flush()
        for addressed in renewals:
            message = messages.renewal_to_frame(addressed.renewal)
            if report is not None:
                message.seen = messages.broker_report_to_frames(report)
                message.cut_off = report.cut_off
                message.decision = messages.decision_to_frame(self.decision)
            if self.links[addressed.coordinator].send(message):
                self.counts["renewals",] += 1
        self._log_holders(now)

    def _on_message(self, address: str, message: frames.AnyMessage) -> None:
        """Apply a coordinator's reply; ignored after :meth:`leave`, as its grants were requested before."""
        if not isinstance(message, frames.RenewalReply):
            return
        now = self.check_incarnation()
        if self.is_leaving:
            return
        self._on_decision(messages.decision_from_frame(message.decision))
        reply = messages.renewal_reply_from_frame(message)
        self._on_incarnation_ended(self.quotas.on_reply(now, address, reply))
        if self.events.is_enabled:
            for name in sorted({grant.budget for grant in message.grants} & self.quotas.holders.keys()):
                self._log_holder(now, name, self.quotas.holders[name])

    def _on_decision(self, decision: Decision) -> None:
        """Pass a newer decision to the observer."""
        if self.zone_observer is not None and decision.is_newer_than(self.decision):
            self.decision = decision
            self.zone_observer.on_decision(decision)

    def _on_incarnation_ended(self, ended: IncarnationEnded | None) -> None:
        """Log the end of the incarnation, if it has ended; the next one begins without grants."""
        if ended is None:
            return
        self.counts["deaths",] += 1
        self.events("dies", why=ended.reason, inc=self.member.incarnation)
        self.log(
            "warning",
            "incarnation ended: grants dropped, rejoining the fleet as the next incarnation",
            why=ended.reason,
            incarnation=self.member.incarnation,
        )
        self._log_holders(self.loop.now())

    def _log_holders(self, now: int) -> None:
        if self.events.is_enabled:
            for name, holder in self.quotas.holders.items():
                self._log_holder(now, name, holder)

    def _log_holder(self, now: int, name: str, holder: QuotaHolder) -> None:
        """Log the grants held by fraction with their remaining time (us, own clock), and the units in use.

        Only changes are logged. The audit of event logs reads these events.
        """
        if not self.events.is_enabled:
            return
        quota = holder.quota(now)  # called first, as it drops expired grants
        state = (quota, holder.in_use, *(grant.expires_at_us for grant in holder.grants.values()))
        if self._logged_states.get(name) == state:
            return
        self._logged_states[name] = state
        self.events(
            "holds",
            budget=name,
            own=holder.budget.broker_minimum,
            used=holder.in_use,
            held=[
                [fraction, grant.amount, grant.expires_at_us - self.loop.now(), grant.grantor, grant.number]
                for fraction, grant in holder.grants.items()
            ],
        )
