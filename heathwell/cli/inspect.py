"""`heathwell check`, `schema` and `audit`: validate settings, print their reference, audit event logs."""

from __future__ import annotations

import sys
from typing import Final

import click

from heathwell.cli.process import load_settings_or_exit
from heathwell.settings import schema_page
from heathwell.testing.audit import Breach, Event, Verdict, judge, judge_ages, judge_budgets, read_logs
from heathwell.testing.audit.reader import LogError

LOGGED_WITHIN_US: Final = 200  # maximum time from computing an answer's age to timestamping its log line


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Validate a settings FILE, and print every error with its line and column."""
    service_settings = load_settings_or_exit(file)
    click.echo(
        f"{file}: good: {len(service_settings.classes)} classes, {len(service_settings.keys)} key spaces, "
        f"{service_settings.fleet.shards} shards on {service_settings.fleet.cells} cells"
    )


@click.command()
def schema() -> None:
    """Print the reference of all settings (docs/settings.md)."""
    click.echo(schema_page(), nl=False)


def judge_optional_rules(verdict: Verdict, events: list[Event]) -> list[str]:
    """Judge budgets and ages of answers where the run has them, and add the breaches to ``verdict``.

    Return a summary line for each of the two.
    """
    run_parameters = next(event for event in events if event.ev == "run").fields["figures"]
    lines = []
    if run_parameters.get("budgets"):
        lines.append(_judge_budgets(verdict, events))
    if run_parameters.get("source_offset") is not None:
        lines.append(_judge_ages(verdict, events))
    return lines


def _judge_budgets(verdict: Verdict, events: list[Event]) -> str:
    result = judge_budgets(events)
    verdict.breaches += [Breach(0, "budget", text, ()) for text in result.breaches]
    return (
        f"budgets: {result.lines} quota changes and {result.uses} uses judged, "
        f"{len(result.breaches)} overshoots; largest fraction held: "
        + ", ".join(f"{name} {share:.2f}" for name, share in sorted(result.nearest.items()))
    )


def _judge_ages(verdict: Verdict, events: list[Event]) -> str:
    ages = judge_ages(events, LOGGED_WITHIN_US)
    verdict.breaches += ages.breaches
    return (
        f"{ages.judged} ages judged, {ages.unknown} stated as unknown; the bound is older than the truth "
        f"by {ages.excess_at(0.5):.0f} us (p50), {ages.excess_at(0.99):.0f} us (p99)"
    )


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True))
@click.option(
    "--most", "printed_breaches", default=20, show_default=True, help="Maximum number of breaches to print."
)
def audit(logs: tuple[str, ...], printed_breaches: int) -> None:
    """Audit the event LOGS of a run, which are files or directories of .jsonl files, by the six rules."""
    try:
        events = read_logs(logs)
        verdict = judge(events)
    except (LogError, ValueError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    click.echo(", ".join(f"{count} {name}" for name, count in verdict.counts.items()))
    click.echo(f"highest load of a host in slow start: {verdict.coldest:.2f} of its overload threshold")
    for line in judge_optional_rules(verdict, events):
        click.echo(line)
    for breach in verdict.breaches[:printed_breaches]:
        click.echo(str(breach))
    if len(verdict.breaches) > printed_breaches:
        click.echo(f"... and {len(verdict.breaches) - printed_breaches} more")
    click.echo("all rules kept" if verdict.kept else f"{len(verdict.breaches)} breaches")
    sys.exit(0 if verdict.kept else 1)
