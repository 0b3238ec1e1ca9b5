"""The command line: `heathwell COMMAND`.

Exit codes: 0 success; 1 a rule was broken or a run failed; 2 invalid usage or settings; 3 an address could
not be bound or reached, or a file could not be read.
"""

from __future__ import annotations

import click

from heathwell import __version__
from heathwell.cli.agent import agent
from heathwell.cli.badday import badday, replay
from heathwell.cli.coordinator import coordinator
from heathwell.cli.fleet import fleet
from heathwell.cli.fleet_status import budgets, members
from heathwell.cli.inspect import audit, check, schema
from heathwell.cli.platform import platform
from heathwell.cli.rollout import rollout
from heathwell.cli.serve import broker
from heathwell.cli.standins import discovery, leaf, relay, source
from heathwell.cli.zone import zone


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(__version__, prog_name="heathwell")
def main() -> None:
    """A query aggregator over replicated shards that reports the completeness of each answer.

    Start with `heathwell check examples/market.sx`, then `heathwell fleet up --config examples/market.sx`.

    Exit codes: 0 success; 1 a rule was broken or a run failed; 2 invalid usage or settings; 3 an address
    could not be bound or reached, or a file could not be read.
    """


fleet.add_command(members)
fleet.add_command(budgets)
for command in (
    broker,
    coordinator,
    zone,
    agent,
    rollout,
    leaf,
    discovery,
    source,
    relay,
    fleet,
    platform,
    check,
    schema,
    audit,
    badday,
    replay,
):
    main.add_command(command)
