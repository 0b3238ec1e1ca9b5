"""`heathwell keeper`, and what an operator asks keepers: `heathwell fleet members` and `budgets`."""

from __future__ import annotations

import getpass
import json
import os
import random
import signal
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, TypeVar

import click
import msgspec

from heathwell.cli.process import Process, serving, settings_of
from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro
from heathwell.fleet.control.coordinator_metrics import CoordinatorAdminPages
from heathwell.fleet.control.evacuation_coordinator import evacuation_coordinator_from_settings
from heathwell.fleet.control.messages import attempt_counts_from_frames
from heathwell.fleet.control.parameters import (
    budgets_from_settings,
    quota_timings_from_settings,
    rollout_lease_budget,
)
from heathwell.fleet.control.quota_coordinator import QuotaCoordinatorServer
from heathwell.fleet.evacuation import Drill, DrillStage, DrillStageReport, OperatorAction, ZoneState
from heathwell.fleet.quotas import QuotaCoordinator
from heathwell.settings import ServiceSettings, SettingsError, load

ANSWER_SECONDS = 3.0
LOOK_SECONDS = 2.0  # between two looks of a drill: what brokers say is of so long
A = TypeVar("A")


@click.command()
@serving("keeper")
@click.option("--number", required=True, type=int, help="Which of the keepers it is, from 0.")
@click.option("--keepers", default="", help="All keepers' addresses with commas between (settings' without).")
@click.option("--listen", help="Address (that of its number in the settings without).")
@click.option("--admin", default="127.0.0.1:0", show_default=True, help="Address of /healthz and /metrics.")
def keeper(process: Process, number: int, keepers: str, listen: str | None, admin: str) -> None:
    """Run a keeper: the roll of brokers, and a part of the fleet's budgets to lend.

    SIGHUP reads the settings anew: the wholes of budgets may change while all run. It keeps nothing on disk.
    """
    fleet = process.service_settings.fleet
    where = keepers.split(",") if keepers else list(fleet.coordinators)
    if not 0 <= number < len(where):
        click.echo(f"--number {number}: settings name {len(where)} keepers", err=True)
        sys.exit(2)
    loop = process.loop
    run = f"k{number}.{time.time_ns() // 1000:x}.{random.SystemRandom().randrange(1 << 32):x}"

    def main() -> Coro[None]:
        lent = (*budgets_from_settings(fleet), rollout_lease_budget(fleet))
        decider = QuotaCoordinator(
            number, run, len(where), lent, loop.now(), quota_timings_from_settings(fleet)
        )
        server = QuotaCoordinatorServer(
            loop,
            process.net,
            decider,
            {other: address for other, address in enumerate(where) if other != number},
            seed=number + 1,
            log=process.log,
            events=process.events,
            evacuation=evacuation_coordinator_from_settings(process.service_settings)
            if fleet.evacuate
            else None,
            fleet=fleet.called,
        )

        def reread() -> None:
            try:
                wholes = budgets_from_settings(load(process.config).fleet)
            except (SettingsError, OSError) as problem:
                process.log("error", "settings not taken, the old ones stay", why=str(problem))
                return
            for error in server.resize(wholes):
                process.log("error", "budget not taken", why=str(error))

        process.poller.on_signal(signal.SIGHUP, reread)
        address = server.start(listen or where[number])
        pages = process.net.listen(admin, CoordinatorAdminPages(server).serve, "admin", 100)
        process.ready(address=address, admin=pages.address, number=number, run=run)
        process.log("info", "keeping", address=address, run=run)
        yield from process.stop.wait()
        server.close()
        pages.close()

    process.run(main)


@dataclass(slots=True)
class Views:
    """What keepers said, and which said nothing, why."""

    views: list[frames.FleetView] = field(default_factory=list)
    silent: dict[str, str] = field(default_factory=dict)


def ask_keepers(addresses: list[str], seconds: float = ANSWER_SECONDS) -> Views:
    """Each keeper's view."""
    found = Views()
    for address in addresses:
        try:
            found.views.append(ask(address, frames.FleetRequest(), frames.FleetView, seconds))
        except (OSError, ValueError, frames.FrameError) as problem:
            found.silent[address] = str(problem) or type(problem).__name__
    return found


def ask(address: str, question: frames.Message, kind: type[A], seconds: float = ANSWER_SECONDS) -> A:
    """An operator's question; raises as :func:`heathwell.codec.inner_protocol.request`."""
    return inner_protocol.request(address, f"cli{os.getpid()}", "cli", question, kind, seconds)


def _where(config: str, keepers: str) -> tuple[ServiceSettings, list[str]]:
    service_settings = settings_of(config)
    where = keepers.split(",") if keepers else list(service_settings.fleet.coordinators)
    if not where:
        click.echo(f"{config}: fleet.keepers: none are named, so there is no roll and no budget", err=True)
        sys.exit(2)
    return service_settings, where


def member_rows(views: list[frames.FleetView]) -> list[dict[str, Any]]:
    """Who is a member: of each name the latest incarnation, by whoever heard it last; ``views`` says how many
    keepers have it in that state.
    """
    latest: dict[str, frames.MemberStatus] = {}
    states: dict[tuple[str, int], list[str]] = defaultdict(list)
    for view in views:
        for member in view.members:
            states[member.name, member.incarnation].append(member.state)
            old = latest.get(member.name)
            if old is None or (member.incarnation, -member.last_contact_age_us) > (
                old.incarnation,
                -old.last_contact_age_us,
            ):
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


def budget_rows(views: list[frames.FleetView]) -> list[dict[str, Any]]:
    """Each budget: whole, set aside, given out, to whom and until when. A rate's figures are units
    a second.
    """
    rows = []
    for whole in views[0].wholes if views else []:
        unit = 1_000 if whole.kind == "rate" else 1
        by: dict[str, dict[str, list[int]]] = defaultdict(lambda: defaultdict(lambda: [0, 0, 0]))
        for view in views:
            for share in view.shares:
                base, _, which = share.budget.partition("@")
                if base == whole.name and (share.amount or share.demand):
                    line = by[which][share.member]
                    line[0] += share.amount
                    line[1] = max(line[1], share.left_us)
                    line[2] = max(line[2], share.demand)
        for which, members in sorted(by.items()) or [("", {})]:
            rows.append(
                {
                    "budget": whole.name + (f"@{which}" if which else ""),
                    "kind": whole.kind,
                    "whole": (whole.whole + whole.apart) / unit,
                    "aside": (whole.aside + whole.apart) / unit,
                    "given": sum(line[0] for line in members.values()) / unit,
                    "holders": [
                        {
                            "member": member,
                            "amount": amount / unit,
                            "demand": demand / unit,
                            "until_s": round(left / 1e6, 2),
                        }
                        for member, (amount, left, demand) in sorted(members.items())
                    ],
                }
            )
    return rows


def _table(rows: list[dict[str, Any]]) -> str:
    if not rows:
        return "none"
    heads = list(rows[0])
    lines = [heads, *([str(row[head]) for head in heads] for row in rows)]
    widths = [max(len(line[n]) for line in lines) for n in range(len(heads))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def _tell(found: Views, body: dict[str, Any], as_json: bool, text: str) -> None:
    if as_json:
        click.echo(json.dumps({**body, "silent": found.silent}, indent=1))
    else:
        click.echo(text)
        for address, why in found.silent.items():
            click.echo(f"keeper {address} says nothing: {why}", err=True)
    sys.exit(0 if found.views else 3)


def _options(command: Any) -> Any:
    for option in (
        click.option("--config", required=True, type=click.Path(dir_okay=False), help="Settings file."),
        click.option("--keepers", default="", help="Their addresses, commas between (settings' without)."),
        click.option("--json", "as_json", is_flag=True, help="As JSON."),
    ):
        command = option(command)
    return command


@click.command()
@_options
def members(config: str, keepers: str, as_json: bool) -> None:
    """Who is a member of the fleet, by what the keepers have heard."""
    found = ask_keepers(_where(config, keepers)[1])
    rows = member_rows(found.views)
    _tell(found, {"members": rows}, as_json, _table(rows))


@click.command()
@_options
def budgets(config: str, keepers: str, as_json: bool) -> None:
    """What of each budget is given out, to whom, until when."""
    found = ask_keepers(_where(config, keepers)[1])
    rows = budget_rows(found.views)
    owners = {view.coordinator: view.owned for view in found.views}
    lines = []
    for row in rows:
        lines.append(
            f"{row['budget']} ({row['kind']}): whole {row['whole']:g}, set aside {row['aside']:g}, "
            f"given {row['given']:g}"
        )
        lines += [
            f"  {holder['member']}: {holder['amount']:g} (could use {holder['demand']:g}) for "
            f"{holder['until_s']:g} s yet"
            for holder in row["holders"]
        ]
    for name, owned in owners.items():
        lines.append(
            f"keeper {name} owns "
            + (
                ", ".join(f"fraction {number} for {left / 1e6:.1f} s" for number, left in owned.items())
                or "no fraction"
            )
        )
    _tell(
        found,
        {"budgets": rows, "owners": msgspec.to_builtins(owners, str_keys=True)},
        as_json,
        "\n".join(lines),
    )


@click.group()
def zone() -> None:
    """Zones that the fleet has left or leaves, and an operator's word on them."""


def _ask_zones(
    addresses: list[str], order: frames.OperatorCommand
) -> tuple[dict[str, frames.ZonesStatus | str], list[frames.ZonesStatus]]:
    """What each keeper says to a word on a zone, or why nothing; and of these who decides."""
    told: dict[str, frames.ZonesStatus | str] = {}
    for address in addresses:
        try:
            told[address] = ask(address, order, frames.ZonesStatus)
        except (OSError, ValueError, frames.FrameError) as problem:
            told[address] = str(problem)
    return told, [
        answer for answer in told.values() if isinstance(answer, frames.ZonesStatus) and answer.decides
    ]


def _zone_word(word: str, text: str) -> click.Command:
    def command(config: str, keepers: str, as_json: bool, **more: str) -> None:
        addresses = _where(config, keepers)[1]
        order = frames.OperatorCommand(word, getpass.getuser(), more.get("why", ""), more.get("zone", ""))
        told, deciding = _ask_zones(addresses, order)
        if as_json:
            click.echo(
                json.dumps(
                    {address: msgspec.to_builtins(answer) for address, answer in told.items()}, indent=1
                )
            )
        for answer in deciding:
            if not as_json:
                for name, state in answer.states.items():
                    said = answer.decision.zones.get(name) if answer.decision is not None else None
                    click.echo(
                        f"{name}: {state}"
                        + (
                            f", {said.share:.0%} of its usual work"
                            + (f", without {', '.join(said.only)}" if said.only else "")
                            + f": {said.why}"
                            if said is not None
                            else ""
                        )
                    )
            if answer.text:
                click.echo(answer.text, err=True)
                sys.exit(1)
        if not deciding:
            click.echo("no keeper decides at this moment: the last decision stands", err=True)
            sys.exit(3)

    command.__doc__ = text
    command = _options(command)
    if word != "status":
        command = click.argument("zone")(click.option("--why", default="", help="For the log.")(command))
    return click.command(word)(command)


for _word, _text in (
    ("status", "How zones stand."),
    ("leave", "Leave ZONE until return is said."),
    ("return", "Come back to ZONE, in steps."),
    ("pin", "Leave ZONE as it is until unpin."),
    ("unpin", "Let ZONE be decided again."),
):
    zone.add_command(_zone_word(_word, _text))


def _drill_row(report: DrillStageReport) -> dict[str, Any]:
    """A stage of a drill under the keys of the command's output."""
    return {
        "stage": report.stage.value,
        "seconds": round(report.duration_seconds, 1),
        "there_a_second": round(report.zone_attempts_per_second, 1),
        "elsewhere_a_second": round(report.elsewhere_attempts_per_second, 1),
        "lost_elsewhere": round(report.elsewhere_loss, 4),
        "worst_look": round(report.worst_tick_loss, 4),
        "lost_by_class": {
            query_class: round(loss, 4) for query_class, loss in report.elsewhere_loss_by_class.items()
        },
    }


@zone.command()
@click.argument("zone")
@click.option("--seconds", default=20.0, show_default=True, help="How long to stay away.")
@click.option(
    "--most",
    default=0.05,
    show_default=True,
    help="Share lost elsewhere beyond the usual, from which the drill is called off.",
)
@click.option("--why", default="a drill", show_default=True, help="For the log.")
@_options
def drill(config: str, keepers: str, as_json: bool, zone: str, seconds: float, most: float, why: str) -> None:
    """Leave a healthy ZONE and come back to it, and report what that cost. Exit 1 where it was called off.

    Ended half way by a signal, it says return before it goes.
    """
    addresses = _where(config, keepers)[1]

    def say(word: str) -> frames.ZonesStatus:
        deciding = _ask_zones(addresses, frames.OperatorCommand(word, getpass.getuser(), why, zone))[1]
        if not deciding:
            raise click.ClickException("no keeper decides at this moment: the last decision stands")
        if deciding[0].text:
            raise click.ClickException(deciding[0].text)
        return deciding[0]

    def clock() -> int:
        return time.monotonic_ns() // 1000

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    view = say("status")
    state = view.states.get(zone)
    if state is None:
        raise click.ClickException(f"no zone '{zone}'; there are {', '.join(sorted(view.states))}")
    if state != ZoneState.SERVING:
        raise click.ClickException(f"{zone} is {state}: a drill leaves a zone that is served")
    course, began, before = Drill(zone, clock(), int(seconds * 1e6), most), clock(), ""
    away = False
    try:
        while course.stage != DrillStage.FINISHED:
            word = course.tick(
                clock(), view.states[zone].partition(",")[0], attempt_counts_from_frames(view.seen)
            )
            if word is not None:
                say(word.value)
                away = word == OperatorAction.EVACUATE
            if course.stage != before and not as_json:
                click.echo(f"{(clock() - began) / 1e6:6.1f} s  {course.stage}")
            before = course.stage
            time.sleep(LOOK_SECONDS)
            view = say("status")
    finally:
        if away:
            say("return")
    rows = [_drill_row(stage) for stage in course.report()]
    click.echo(
        json.dumps({"zone": zone, "called_off": course.cancel_reason or "", "stages": rows}, indent=1)
        if as_json
        else _table([{key: value for key, value in row.items() if key != "lost_by_class"} for row in rows])
    )
    if course.cancel_reason is not None:
        click.echo(f"called off: {course.cancel_reason}", err=True)
        sys.exit(1)
