"""`heathwell fleet members` and `budgets`: the state of a fleet, as its coordinators report it."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Final

import click
import msgspec

from heathwell.cli.operator_requests import (
    format_table,
    operator_options,
    print_and_exit,
    request_views,
    required_coordinator_addresses,
)
from heathwell.cli.process import MICROSECONDS_PER_SECOND
from heathwell.codec import frames

MILLIUNITS_PER_UNIT: Final = 1_000


class MemberSummary(
    msgspec.Struct, rename={"state_age_seconds": "since_s", "last_contact_age_seconds": "heard_s"}
):
    """One member, as `heathwell fleet members` prints it; the JSON names are part of its interface."""

    name: str
    state: str
    zone: str
    incarnation: int
    state_age_seconds: float
    last_contact_age_seconds: float
    program: str
    settings: str  # digest
    views: str  # number of views with the member in that state / number of all views


class HolderSummary(msgspec.Struct, rename={"remaining_seconds": "until_s"}):
    """The grants of a budget to one member; the JSON names are part of the command's interface."""

    member: str
    amount: float
    demand: float
    remaining_seconds: float


class BudgetSummary(msgspec.Struct, rename={"total": "whole", "set_aside": "aside", "granted": "given"}):
    """One budget, or one scope of it; the JSON names are part of the command's interface.

    Amounts of a budget of kind ``rate`` are in units per second.
    """

    budget: str
    kind: str
    total: float
    set_aside: float
    granted: float
    holders: list[HolderSummary]

    def lines(self) -> list[str]:
        """Return the lines to print: the budget, then each holder."""
        return [
            f"{self.budget} ({self.kind}): whole {self.total:g}, set aside {self.set_aside:g}, "
            f"given {self.granted:g}",
            *(
                f"  {holder.member}: {holder.amount:g} (could use {holder.demand:g}) for "
                f"{holder.remaining_seconds:g} s yet"
                for holder in self.holders
            ),
        ]


def summarize_members(views: list[frames.FleetView]) -> list[MemberSummary]:
    """Return each member's latest incarnation, from the view with the most recent contact."""
    latest: dict[str, frames.MemberStatus] = {}
    states: dict[tuple[str, int], list[str]] = defaultdict(list)
    for view in views:
        for member in view.members:
            states[member.name, member.incarnation].append(member.state)
            present = latest.get(member.name)
            if present is None or _is_newer(member, present):
                latest[member.name] = member
    return [
        _summarize_member(member, states[member.name, member.incarnation], len(views))
        for _, member in sorted(latest.items())
    ]


def _summarize_member(member: frames.MemberStatus, states: list[str], view_count: int) -> MemberSummary:
    """Summarize a member; ``states`` are those of this incarnation, one from each view that has it."""
    return MemberSummary(
        name=member.name,
        state=member.state,
        zone=member.zone,
        incarnation=member.incarnation,
        state_age_seconds=round(member.since_us / MICROSECONDS_PER_SECOND, 1),
        last_contact_age_seconds=round(member.last_contact_age_us / MICROSECONDS_PER_SECOND, 2),
        program=member.program,
        settings=member.digest,
        views=f"{states.count(member.state)}/{view_count}",
    )


def _is_newer(member: frames.MemberStatus, other: frames.MemberStatus) -> bool:
    if member.incarnation != other.incarnation:
        return member.incarnation > other.incarnation
    return member.last_contact_age_us < other.last_contact_age_us


@dataclass(slots=True)
class _Holding:
    """The grants of a budget to one member, summed over the fractions of all coordinators."""

    amount: int = 0
    left_us: int = 0
    demand: int = 0

    def add(self, share: frames.MemberShare) -> None:
        """Add the member's grant of one fraction."""
        self.amount += share.amount
        self.left_us = max(self.left_us, share.left_us)
        self.demand = max(self.demand, share.demand)


def summarize_budgets(views: list[frames.FleetView]) -> list[BudgetSummary]:
    """Return a summary of each budget and scope, with the members that hold or request some of it."""
    summaries = []
    for budget in views[0].wholes if views else []:
        holdings = _holdings_by_scope(budget.name, views)
        for scope, members in sorted(holdings.items()) or [("", {})]:
            summaries.append(_summarize_budget(budget, scope, members))
    return summaries


def _holdings_by_scope(budget: str, views: list[frames.FleetView]) -> dict[str, dict[str, _Holding]]:
    """Return holdings by scope (what follows "@" in the name of a budget, or empty) and member."""
    holdings: dict[str, dict[str, _Holding]] = defaultdict(lambda: defaultdict(_Holding))
    for view in views:
        for share in view.shares:
            base, _, scope = share.budget.partition("@")
            if base == budget and (share.amount or share.demand):
                holdings[scope][share.member].add(share)
    return holdings


def _summarize_budget(budget: frames.QuotaStatus, scope: str, members: dict[str, _Holding]) -> BudgetSummary:
    unit = MILLIUNITS_PER_UNIT if budget.kind == "rate" else 1
    return BudgetSummary(
        budget=budget.name + (f"@{scope}" if scope else ""),
        kind=budget.kind,
        total=(budget.whole + budget.apart) / unit,
        set_aside=(budget.aside + budget.apart) / unit,
        granted=sum(holding.amount for holding in members.values()) / unit,
        holders=[
            HolderSummary(
                member=member,
                amount=holding.amount / unit,
                demand=holding.demand / unit,
                remaining_seconds=round(holding.left_us / MICROSECONDS_PER_SECOND, 2),
            )
            for member, holding in sorted(members.items(), key=lambda item: item[0])
        ],
    )


@click.command()
@operator_options
def members(*, config: str, coordinators: str, as_json: bool) -> None:
    """List the members of the fleet, as its quota coordinators see them."""
    result = request_views(required_coordinator_addresses(config, coordinators))
    summaries = msgspec.to_builtins(summarize_members(result.views))
    print_and_exit(result, {"members": summaries}, format_table(summaries), as_json=as_json)


@click.command()
@operator_options
def budgets(*, config: str, coordinators: str, as_json: bool) -> None:
    """List the fleet's budgets: totals, the grants of each member, and how long they last."""
    result = request_views(required_coordinator_addresses(config, coordinators))
    summaries = summarize_budgets(result.views)
    owned_by_coordinator = {view.coordinator: view.owned for view in result.views}
    lines = [line for summary in summaries for line in summary.lines()]
    lines += [_owner_line(name, owned) for name, owned in owned_by_coordinator.items()]
    body = {"budgets": summaries, "owners": owned_by_coordinator}
    print_and_exit(result, msgspec.to_builtins(body, str_keys=True), "\n".join(lines), as_json=as_json)


def _owner_line(coordinator: str, owned: dict[int, int]) -> str:
    """Return the line to print of the fractions that a coordinator owns, with the remaining lease times."""
    fractions = ", ".join(
        f"fraction {number} for {remaining_us / MICROSECONDS_PER_SECOND:.1f} s"
        for number, remaining_us in owned.items()
    )
    return f"keeper {coordinator} owns {fractions or 'no fraction'}"
