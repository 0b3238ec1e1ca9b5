"""`heathwell badday` and `heathwell replay`: run a fault scenario under load and audit it."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Final

import click

from heathwell.cli.inspect import judge_optional_rules
from heathwell.cli.process import MICROSECONDS_PER_SECOND, exit_on_input_errors, load_settings_or_exit
from heathwell.settings import ServiceSettings
from heathwell.testing.audit import Verdict
from heathwell.testing.simulation.bench_day import BenchDayError
from heathwell.testing.simulation.bench_day_replay import fault_script_from_bench_day
from heathwell.testing.simulation.errors import FleetError
from heathwell.testing.simulation.fault_scenario import FaultScenario
from heathwell.testing.simulation.fault_script import Script, load_script

PRINTED_BREACHES: Final = 20


@click.command()
@click.argument("script", type=click.Path(dir_okay=False))
@click.option(
    "--out",
    type=click.Path(file_okay=False),
    help="Directory for event logs and the summary (default: a temporary one).",
)
@click.option("--seconds", type=float, help="Run only this much of the script, in seconds.")
def badday(script: str, out: str | None, seconds: float | None) -> None:
    """Run the fault script SCRIPT against a fleet of processes under load.

    Prints each fault as it is injected, the service by query class every five seconds, and the auditor's
    verdict. Exits with 1 if a rule was broken.
    """
    with exit_on_input_errors():
        loaded_script, service_settings, config = load_script(script)
    if seconds is not None:
        loaded_script.steps = [
            step for step in loaded_script.steps if step.at_us < seconds * MICROSECONDS_PER_SECOND
        ]
        loaded_script.seconds = min(loaded_script.seconds, seconds)
    sys.exit(_play(loaded_script, service_settings, config, out))


@click.command()
@click.argument("day", type=click.Path(dir_okay=False))
@click.option(
    "--config", default="examples/market-badday.sx", show_default=True, help="Settings file of the fleet."
)
@click.option(
    "--seconds", default=30.0, show_default=True, help="Duration that the day is scaled to, in seconds."
)
@click.option("--rate", default=25.0, show_default=True, help="Requests per second.")
@click.option("--out", type=click.Path(file_okay=False), help="Directory for event logs and the summary.")
def replay(day: str, config: str, seconds: float, rate: float, out: str | None) -> None:
    """Replay the faults of DAY, a day file printed by the bench's `draw`, against a fleet of processes.

    Kinds of faults without a counterpart are listed and skipped.
    """
    service_settings = load_settings_or_exit(config)
    with exit_on_input_errors(BenchDayError):
        script, skipped = fault_script_from_bench_day(day, service_settings, config, seconds, rate)
    for line in skipped:
        click.echo(f"skipped: {line}")
    sys.exit(_play(script, service_settings, config, out))


def _play(script: Script, service_settings: ServiceSettings, config: str, out: str | None) -> int:
    """Run the script, print its results, write the summary, and return the exit code."""
    folder = out or tempfile.mkdtemp(prefix="heathwell-")
    day = FaultScenario(script, service_settings, config, folder, click.echo)
    try:
        verdict = day.run()
    except FleetError as error:
        click.echo(str(error), err=True)
        return 3
    _print_results(day, verdict)
    click.echo(
        f"{'all rules kept' if verdict.kept else f'{len(verdict.breaches)} breaches'}; logs in {folder}"
    )
    (Path(folder) / "summary.json").write_text(day.summarize(verdict).to_json())
    for fault in day.injection_errors:
        click.echo(f"fault not injected: {fault}", err=True)
    return 0 if verdict.kept and not (day.injection_errors and script.has_process_links) else 1


def _print_results(day: FaultScenario, verdict: Verdict) -> None:
    """Print the service by query class, the auditor's counts and the first breaches."""
    for line in day.service_table():
        click.echo(line)
    click.echo(", ".join(f"{count} {name}" for name, count in verdict.counts.items()))
    click.echo(
        f"highest load of a host in slow start: {verdict.coldest:.2f} of its overload threshold; "
        f"{day.clients.late_start_count} of {day.clients.request_count} requests started off their schedule"
    )
    for line in judge_optional_rules(verdict, day.logged):
        click.echo(line)
    for breach in verdict.breaches[:PRINTED_BREACHES]:
        click.echo(str(breach))
