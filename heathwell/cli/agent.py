"""`heathwell agent`: the node agent, which runs the broker processes of one machine."""

from __future__ import annotations

import contextlib
import json
import sys
from pathlib import Path
from typing import Final

import click
import msgspec

from heathwell.cli.process import Process, server_command
from heathwell.codec import frames
from heathwell.eventloop import Coro, sleep
from heathwell.fleet.control.broker_process import SupervisedBroker, create_supervised_broker
from heathwell.fleet.control.node_agent import DesiredVersionRejectedError, NodeAgent
from heathwell.fleet.control.state_file import base_version

POLL_INTERVAL_US: Final = 50_000
STOP_MARGIN_US: Final = 2_000_000  # added to the brokers' drain timeout before the agent exits without them


class AgentOptions(msgspec.Struct, frozen=True, kw_only=True):
    """The options of `heathwell agent`."""

    state: str
    listen: str
    brokers: tuple[str, ...]  # each NAME:ZONE:HOST:PORT
    broker_arguments: str  # a JSON object: lists of arguments by broker name
    version: str
    program: str
    settings: str
    broker_events: str


@click.command()
@server_command("agent")
@click.option(
    "--state",
    required=True,
    type=click.Path(file_okay=False),
    help="Directory for the agent's state and the brokers' logs.",
)
@click.option("--listen", default="127.0.0.1:0", show_default=True, help="Address for rollout controllers.")
@click.option(
    "--broker",
    "brokers",
    multiple=True,
    required=True,
    help="A broker to run, as NAME:ZONE:HOST:PORT with the index of its zone. Repeatable.",
)
@click.option(
    "--args",
    "broker_arguments",
    default="{}",
    help="JSON object: lists of additional arguments of `heathwell broker`, by broker name.",
)
@click.option("--version", required=True, help="Name of the version that brokers without recorded state run.")
@click.option(
    "--program", required=True, type=click.Path(file_okay=False), help="Program tree of that version."
)
@click.option(
    "--settings", required=True, type=click.Path(dir_okay=False), help="Settings file of that version."
)
@click.option("--broker-events", default="", help="Directory for the brokers' event logs (default: none).")
def agent(process: Process, **values: object) -> None:
    """Run the node agent of a machine, which starts, replaces and restarts its broker processes.

    On SIGTERM it shuts the brokers down gracefully, then exits. When it is killed, the brokers keep running,
    and the next agent adopts them.
    """
    options = msgspec.convert(values, AgentOptions)
    try:
        brokers = _supervised_brokers(options, len(process.service_settings.fleet.zones))
    except ValueError as error:
        click.echo(f"--broker, --args: {error}", err=True)
        sys.exit(2)
    process.run(AgentServer(process, options, brokers).run)


def _supervised_brokers(options: AgentOptions, zone_count: int) -> list[SupervisedBroker]:
    """Return the brokers of ``--broker`` and ``--args``; raise :class:`ValueError` for invalid ones."""
    arguments_by_broker: dict[str, list[str]] = json.loads(options.broker_arguments)
    brokers = []
    for text in options.brokers:
        name, zone, address = text.split(":", 2)
        if not 0 <= int(zone) < zone_count:
            raise ValueError(f"{text}: zone must be at least 0 and less than {zone_count}, got {zone}")
        brokers.append(create_supervised_broker(name, int(zone), address, arguments_by_broker.get(name, [])))
    return brokers


class AgentServer:
    """Runs a node agent: sets initial versions, writes the ready line, and stops the brokers at the end."""

    def __init__(self, process: Process, options: AgentOptions, brokers: list[SupervisedBroker]) -> None:
        self._process = process
        self._options = options
        self._brokers = brokers

    def run(self) -> Coro[None]:
        """Serve until the process is stopped, then stop the brokers."""
        process = self._process
        node_agent = NodeAgent(
            process.loop,
            process.net,
            process.name,
            Path(self._options.state),
            self._brokers,
            process.service_settings.fleet.zones,
            log=process.log,
            events=self._options.broker_events,
        )
        address = node_agent.start(self._options.listen)
        for broker in self._brokers:
            self._set_initial_version(node_agent, broker)
        yield from self._wait_for_first_start()
        process.ready(address=address, brokers={broker.name: broker.address for broker in self._brokers})
        yield from process.stop.wait()
        yield from self._stop_brokers(node_agent)

    def _set_initial_version(self, node_agent: NodeAgent, broker: SupervisedBroker) -> None:
        """Set the desired version to that of the state file, else to that of the options.

        Exit with code 2 if the latter is rejected.
        """
        if broker.supervisor.desired_version:
            # A rejected version changes nothing: the agent has adopted the running process, which continues.
            with contextlib.suppress(DesiredVersionRejectedError):
                node_agent.set_desired_version(_restored_decision(node_agent, broker))
            return
        try:
            node_agent.set_desired_version(self._first_decision(broker))
        except DesiredVersionRejectedError as error:
            click.echo(f"{broker.name}: {error}", err=True)
            sys.exit(2)

    def _first_decision(self, broker: SupervisedBroker) -> frames.DesiredVersion:
        return frames.DesiredVersion(
            term=0,
            number=0,
            broker=broker.name,
            version=self._options.version,
            program=str(Path(self._options.program).resolve()),
            settings=str(Path(self._options.settings).resolve()),
        )

    def _wait_for_first_start(self) -> Coro[None]:
        """Wait until each broker serves or has failed to start, or the process is stopped."""
        while not self._process.stop.is_set and any(
            broker.supervisor.serving is None and not broker.supervisor.failures for broker in self._brokers
        ):
            yield from sleep(self._process.loop, POLL_INTERVAL_US)

    def _stop_brokers(self, node_agent: NodeAgent) -> Coro[None]:
        """Stop the brokers and wait until their processes have ended, for a bounded time."""
        loop = self._process.loop
        node_agent.stop()
        drain_timeout_us = self._process.service_settings.broker.drain_for
        deadline_us = loop.now() + drain_timeout_us + STOP_MARGIN_US
        while node_agent.process_count and loop.now() < deadline_us:
            yield from sleep(loop, POLL_INTERVAL_US)


def _restored_decision(node_agent: NodeAgent, broker: SupervisedBroker) -> frames.DesiredVersion:
    """Return the last desired version of a broker, from the state file."""
    supervisor = broker.supervisor
    files = node_agent.versions[base_version(supervisor.desired_version)]
    return frames.DesiredVersion(
        term=supervisor.term,
        number=supervisor.number,
        broker=broker.name,
        version=supervisor.desired_version,
        program=files.program,
        settings=files.settings,
    )
