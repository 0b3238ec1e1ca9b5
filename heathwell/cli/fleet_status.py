"""`heathwell fleet members` and `budgets`: the fleet's state as its coordinators report it."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

import click
import msgspec

from heathwell.cli.operator_requests import (
    coordinator_addresses,
    format_table,
    operator_options,
    print_and_exit,
    request_views,
)
from heathwell.codec import frames

MILLIUNITS_PER_UNIT = 1_000


def member_rows(views: list[frames.FleetView]) -> list[dict[str, Any]]:
    """Return one row a member name: its latest incarnation, from the view with the most recent contact.

    Ages are in seconds; ``views`` in a row is the number of views with the member in that state, and of all.
    """
    latest: dict[str, frames.MemberStatus] = {}
    states: dict[tuple[str, int], list[str]] = defaultdict(list)
    for view in views:
        for member in view.members:
            states[member.name, member.incarnation].append(member.state)
            known = latest.get(member.name)
            if known is None or _recency(member) > _recency(known):
                latest[member.name] = member
    return [
        {
            "name": member.name,
            "state": member.state,
            "zone": member.zone,
            "incarnation": member.incarnation,
            "since_s": round(member.since_us / 1e6, 1),
            "heard_s": round(member.last_contact_age_us / 1e6, 2),
            "program": member.program,
            "settings": member.digest,
            "views": f"{states[member.name, member.incarnation].count(member.state)}/{len(views)}",
        }
        for member in sorted(latest.values(), key=lambda member: member.name)
    ]


def _recency(member: frames.MemberStatus) -> tuple[int, int]:
    return member.incarnation, -member.last_contact_age_us


@dataclass(slots=True)
class _Holding:
    """What one member holds of a budget, summed over the fractions of all coordinators."""

    amount: int = 0
    left_us: int = 0
    demand: int = 0

    def add(self, share: frames.MemberShare) -> None:
        self.amount += share.amount
        self.left_us = max(self.left_us, share.left_us)
        self.demand = max(self.demand, share.demand)


def budget_rows(views: list[frames.FleetView]) -> list[dict[str, Any]]:
    """Return one row a budget and scope: total, set aside, granted, and the members that hold grants.

    Amounts of a rate are in units per second.
    """
    rows = []
    for budget in views[0].wholes if views else []:
        holdings = _holdings_by_scope(budget.name, views)
        for scope, members in sorted(holdings.items()) or [("", {})]:
            rows.append(_budget_row(budget, scope, members))
    return rows


def _holdings_by_scope(budget: str, views: list[frames.FleetView]) -> dict[str, dict[str, _Holding]]:
    """Return holdings by scope (the text after "@" in a share's budget, or empty) and member."""
    holdings: dict[str, dict[str, _Holding]] = defaultdict(lambda: defaultdict(_Holding))
    for view in views:
        for share in view.shares:
            base, _, scope = share.budget.partition("@")
            if base == budget and (share.amount or share.demand):
                holdings[scope][share.member].add(share)
    return holdings


def _budget_row(budget: frames.QuotaStatus, scope: str, members: dict[str, _Holding]) -> dict[str, Any]:
    unit = MILLIUNITS_PER_UNIT if budget.kind == "rate" else 1
    return {
        "budget": budget.name + (f"@{scope}" if scope else ""),
        "kind": budget.kind,
        "whole": (budget.whole + budget.apart) / unit,
        "aside": (budget.aside + budget.apart) / unit,
        "given": sum(holding.amount for holding in members.values()) / unit,
        "holders": [
            {
                "member": member,
                "amount": holding.amount / unit,
                "demand": holding.demand / unit,
                "until_s": round(holding.left_us / 1e6, 2),
            }
            for member, holding in sorted(members.items(), key=lambda item: item[0])
        ],
    }


@click.command()
@operator_options
def members(*, config: str, keepers: str, as_json: bool) -> None:
    """Who is a member of the fleet, by what the keepers have heard."""
    result = request_views(coordinator_addresses(config, keepers))
    rows = member_rows(result.views)
    print_and_exit(result, {"members": rows}, format_table(rows), as_json=as_json)


@click.command()
@operator_options
def budgets(*, config: str, keepers: str, as_json: bool) -> None:
    """What of each budget is given out, to whom, until when."""
    result = request_views(coordinator_addresses(config, keepers))
    rows = budget_rows(result.views)
    owners = {view.coordinator: view.owned for view in result.views}
    lines = [line for row in rows for line in _budget_lines(row)]
    lines += [_owner_line(name, owned) for name, owned in owners.items()]
    body = {"budgets": rows, "owners": msgspec.to_builtins(owners, str_keys=True)}
    print_and_exit(result, body, "\n".join(lines), as_json=as_json)


def _budget_lines(row: dict[str, Any]) -> list[str]:
    return [
        f"{row['budget']} ({row['kind']}): whole {row['whole']:g}, set aside {row['aside']:g}, "
        f"given {row['given']:g}",
        *(
            f"  {holder['member']}: {holder['amount']:g} (could use {holder['demand']:g}) for "
            f"{holder['until_s']:g} s yet"
            for holder in row["holders"]
        ),
    ]


def _owner_line(coordinator: str, owned: dict[int, int]) -> str:
    fractions = ", ".join(f"fraction {number} for {left / 1e6:.1f} s" for number, left in owned.items())
    return f"keeper {coordinator} owns {fractions or 'no fraction'}"
