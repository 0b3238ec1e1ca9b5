"""The kinds of faults in fault scripts, as the scripts name them, and what each kind needs."""

from __future__ import annotations

from enum import StrEnum
from typing import Final


class ScriptedFault(StrEnum):
    """A kind of fault. Most faults of hosts have the names of the hosts' own fault commands."""

    STALL = "stall"
    SLOW = "slow"
    SILENT = "silent"
    PARTIAL_REPLY = "midreply"
    LOST_REPLIES = "lose"
    REJECT = "refuse"
    FAIL_QUERY_CLASS = "failclass"
    RESET_CONNECTIONS = "reset"
    DRAIN = "drain"
    CRASH_HOST = "crash"
    ZONE_LOSS = "zone-loss"
    DISCOVERY_OUTAGE = "discovery-down"
    DISCOVERY_DELAY = "discovery-late"
    LOAD_BURST = "burst"
    QUERIES_OF_DEATH = "poison"
    KILL_BROKER = "kill-broker"
    LAG = "lag"
    STUCK = "stuck"
    RESTORE_OLD_COPY = "back"
    OVERSTATE_POSITION = "lie"
    MALFORMED_RESULTS = "spoil"
    REGION_LINK_DELAY = "link-delay"
    REGION_LINK_RATE = "link-rate"
    REGION_LINK_LOSS = "link-loss"
    REGION_LINK_CUT = "link-cut"
    REGION_LINK_CUT_ONE_DIRECTION = "link-oneway"
    REGION_LINK_FLAP = "link-flap"
    REGION_LINK_RESET = "link-reset"
    REGION_LINK_BLOCK_CONNECTS = "link-refuse"
    KILL_PROCESS = "kill"
    PAUSE_PROCESS = "pause"
    RESTART_ALL_BROKERS = "restart-all"
    PROCESS_LINK_CUT = "cut"
    PROCESS_LINK_CUT_OUT = "cut-out"
    PROCESS_LINK_CUT_BACK = "cut-back"
    PROCESS_LINK_DELAY = "way-delay"
    PROCESS_LINK_LOSS = "way-loss"
    PROCESS_LINK_RESET = "way-reset"
    RESIZE_BUDGET = "resize"
    JOIN_BROKERS = "join"


HOST_FAULTS: Final = frozenset(
    {
        ScriptedFault.STALL,
        ScriptedFault.SLOW,
        ScriptedFault.SILENT,
        ScriptedFault.PARTIAL_REPLY,
        ScriptedFault.LOST_REPLIES,
        ScriptedFault.REJECT,
        ScriptedFault.FAIL_QUERY_CLASS,
        ScriptedFault.RESET_CONNECTIONS,
        ScriptedFault.DRAIN,
        ScriptedFault.LAG,
        ScriptedFault.STUCK,
        ScriptedFault.RESTORE_OLD_COPY,
        ScriptedFault.OVERSTATE_POSITION,
        ScriptedFault.MALFORMED_RESULTS,
    }
)
"""Commands that a host's process carries out itself."""
PROCESS_FAULTS: Final = frozenset({ScriptedFault.KILL_PROCESS, ScriptedFault.PAUSE_PROCESS})
"""Of any process, by its name."""
REGION_LINK_FAULTS: Final = frozenset(
    {
        ScriptedFault.REGION_LINK_DELAY,
        ScriptedFault.REGION_LINK_RATE,
        ScriptedFault.REGION_LINK_LOSS,
        ScriptedFault.REGION_LINK_CUT,
        ScriptedFault.REGION_LINK_CUT_ONE_DIRECTION,
        ScriptedFault.REGION_LINK_FLAP,
        ScriptedFault.REGION_LINK_RESET,
        ScriptedFault.REGION_LINK_BLOCK_CONNECTS,
    }
)
PROCESS_LINK_FAULTS: Final = frozenset(
    {
        ScriptedFault.PROCESS_LINK_CUT,
        ScriptedFault.PROCESS_LINK_CUT_OUT,
        ScriptedFault.PROCESS_LINK_CUT_BACK,
        ScriptedFault.PROCESS_LINK_DELAY,
        ScriptedFault.PROCESS_LINK_LOSS,
        ScriptedFault.PROCESS_LINK_RESET,
    }
)
"""Of the links between single processes, each of which leads through a relay of its own."""
TARGETED_FAULTS: Final = (
    HOST_FAULTS
    | PROCESS_FAULTS
    | PROCESS_LINK_FAULTS
    | {ScriptedFault.CRASH_HOST, ScriptedFault.ZONE_LOSS, ScriptedFault.KILL_BROKER}
)
"""Those that need a target."""
INSTANT_FAULTS: Final = frozenset(
    {
        ScriptedFault.RESET_CONNECTIONS,
        ScriptedFault.DRAIN,
        ScriptedFault.RESTORE_OLD_COPY,
        ScriptedFault.REGION_LINK_RESET,
        ScriptedFault.PROCESS_LINK_RESET,
        ScriptedFault.RESIZE_BUDGET,
    }
)
"""Those that need no duration."""
PARAMETERIZED_FAULTS: Final = frozenset(
    {
        ScriptedFault.SLOW,
        ScriptedFault.LOAD_BURST,
        ScriptedFault.LOST_REPLIES,
        ScriptedFault.DISCOVERY_DELAY,
        ScriptedFault.QUERIES_OF_DEATH,
        ScriptedFault.LAG,
        ScriptedFault.RESTORE_OLD_COPY,
        ScriptedFault.OVERSTATE_POSITION,
        ScriptedFault.REGION_LINK_DELAY,
        ScriptedFault.REGION_LINK_RATE,
        ScriptedFault.REGION_LINK_LOSS,
        ScriptedFault.REGION_LINK_FLAP,
        ScriptedFault.PROCESS_LINK_DELAY,
        ScriptedFault.PROCESS_LINK_LOSS,
        ScriptedFault.RESIZE_BUDGET,
        ScriptedFault.JOIN_BROKERS,
    }
)
"""Those that need a value."""
