"""Adapter between the wire of the operators' bench and the decision module.

Each line of JSON is translated to events of :mod:`heathwell.policy`, each reply back; there is one
:class:`Aggregator` for each instance. The wire's own terms stand in this module alone.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any, TextIO

from heathwell import policy
from heathwell.gateway.settings_from_platform import (
    WireError,
    array,
    coded,
    number,
    real_number,
    required_field,
    settings_from,
    text,
)
from heathwell.policy.aggregator import Aggregator

WireMessage = dict[str, Any]  # one object of the wire's JSON
EndpointLists = Mapping[int, tuple[policy.EndpointEntry, ...]]  # by their number on the wire

STATES = {
    "live": policy.EndpointState.LIVE,
    "quiescing": policy.EndpointState.DRAINING,
    "dead": policy.EndpointState.GONE,
}
FORMS = {
    "update": policy.UpdateKind.INCREMENTAL,
    "replace": policy.UpdateKind.FULL,
    "restored": policy.UpdateKind.FULL,
    "unavailable": policy.UpdateKind.FAILED,
}
OUTCOMES = {
    "success": policy.Outcome.OK,
    "failure": policy.Outcome.ERROR,
    "overloaded": policy.Outcome.REJECTED,
    "timed_out": policy.Outcome.TIMED_OUT,
    "unreachable": policy.Outcome.UNREACHABLE,
    "broken": policy.Outcome.BROKEN,
    "withdrawn": policy.Outcome.CANCELLED,
    "void": policy.Outcome.NEVER_SENT,
}
UNUSED = ("peer-data", "first-byte")
EJECTION_TEXTS = {
    policy.EjectionReason.NO_CONNECTION: "no connection",
    policy.EjectionReason.PROBE_FAILED: "no answer to a probe",
    policy.EjectionReason.NO_RESPONSE: "silent while others answer",
    policy.EjectionReason.REJECTS_ALL: "turns away all that comes",
    policy.EjectionReason.CONSECUTIVE_ERRORS: "errors in a row",
}


def entry_from(line: WireMessage) -> policy.EndpointEntry:
    """Return the entry of one line of a wire list; a state the wire does not define becomes unknown."""
    where = "members-list"
    state = text(line, "availability", where)
    since = line.get("since-us")
    return policy.EndpointEntry(
        node=text(line, "node", where),
        replica_group=number(line, "place", where),
        state=STATES.get(state, policy.EndpointState.UNKNOWN),
        started_at_us=int(since) if since else None,
        rating=float(line.get("rating") or 1.0),
        zone=int(line.get("site") or 0),
    )


def endpoint_update_from(message: WireMessage, tables: EndpointLists) -> policy.EndpointUpdate:
    """Return the update for a message that refers to a numbered list, or for a failed call."""
    kind = "fleet"
    form = text(message, "form", kind)
    update_kind = coded(message, "form", kind, FORMS)
    endpoints: tuple[policy.EndpointEntry, ...] = ()
    if update_kind != policy.UpdateKind.FAILED:
        table = number(message, "table", kind)
        if table not in tables:
            raise WireError(f"fleet: field 'table' names list {table}, which was never given")
        endpoints = tables[table]
    return policy.EndpointUpdate(update_kind, endpoints, requested=form != "restored")


def query_or_part_from(message: WireMessage) -> policy.QueryArrived | policy.PartArrived:
    """Return the query, or the part where the message names a shard."""
    kind = "query"
    shard = number(message, "range-no", kind)
    hint = message.get("size-hint-us")
    if shard >= 0:
        return policy.PartArrived(
            id=text(message, "xid", kind),
            job=number(message, "job-no", kind),
            shard=shard,
            weight=real_number(message, "amount", kind),
            work_hint_us=hint,
            key=message.get("key"),
        )
    return policy.QueryArrived(
        id=text(message, "xid", kind),
        job=number(message, "job-no", kind),
        query_class=number(message, "band", kind),
        deadline_us=number(message, "deadline-us", kind),
        part_count=number(message, "amount", kind),
        tenant=int(message.get("customer") or 0),
        work_hint_us=hint,
        is_retry=bool(message.get("retry")),
    )


def attempt_ended_from(message: WireMessage) -> policy.AttemptEnded:
    """Return the outcome of an attempt, with its endpoint's load report where there is one."""
    kind = "returned"
    load_report = message.get("stats") or {}
    return policy.AttemptEnded(
        id=text(message, "xid", kind),
        seq=number(message, "seq-no", kind),
        node=text(message, "node", kind),
        outcome=coded(message, "verdict", kind, OUTCOMES),
        elapsed_us=number(message, "elapsed-us", kind),
        in_flight=load_report.get("active"),
        cpu_utilization=load_report.get("cpu"),
    )


def event_from(message: WireMessage, kind: str, tables: EndpointLists) -> policy.Event:
    """Return the event for one wire message of a given type; raise :class:`WireError` for another type."""
    match kind:
        case "fleet":
            return endpoint_update_from(message, tables)
        case "query":
            return query_or_part_from(message)
        case "returned":
            return attempt_ended_from(message)
        case "probed":
            return policy.ProbeEnded(text(message, "node", kind), coded(message, "verdict", kind, OUTCOMES))
        case "elapsed":
            return policy.TimerFired(text(message, "label", kind))
        case "expired":
            return policy.ClientDisconnected(text(message, "xid", kind))
        case _:
            raise WireError(f"message of unknown type '{kind}'")


def action_to(  # noqa: C901  # one case for each type of action
    who: int, action: policy.Action
) -> WireMessage:
    """Return the wire message for one action."""
    match action:
        case policy.Send(id=part, node=node):
            return {"event_type": "transmit", "who": who, "xid": part, "node": node}
        case policy.Cancel(id=part, seq=seq):
            return {"event_type": "abandon", "who": who, "xid": part, "seq-no": seq}
        case policy.Answer(id=query, complete=complete):
            return {"event_type": "assemble", "who": who, "xid": query, "complete": complete}
        case policy.Reject(id=query, retry_after_us=after):
            return {"event_type": "not-now", "who": who, "xid": query, "not-before-for-us": after}
        case policy.Fail(id=query):
            return {"event_type": "drop-request", "who": who, "xid": query}
        case policy.Probe(node=node):
            return {"event_type": "inspect", "who": who, "node": node}
        case policy.WatchEndpoints():
            return {"event_type": "subscribe", "who": who, "complete": True}
        case policy.SetTimer(at_us=at, label=label):
            return {"event_type": "set-timer", "who": who, "instant-us": at, "label": label}
        case policy.EndpointEjected() | policy.EndpointReadmitted() | policy.DiscoveryDegraded():
            return {"event_type": "journal-line", "who": who, "text": journal_text(action)}
        case policy.QuotaExhausted():
            raise WireError("a quota of the fleet, which the bench has none of")


def journal_text(event: policy.OperatorEvent) -> str:
    """Return the sentence of the bench's journal for an event."""
    match event:
        case policy.EndpointEjected(node=node, reason=reason):
            return f"server {node} ejected: {EJECTION_TEXTS[reason]}"
        case policy.EndpointReadmitted(node=node):
            return f"server {node} readmitted"
        case policy.DiscoveryDegraded():
            return "discovery: call failed or subscription broke, asking again"


class Host:
    """All instances of one process; they share nothing but the numbered lists."""

    def __init__(self) -> None:
        self.tables: dict[int, tuple[policy.EndpointEntry, ...]] = {}
        self.instances: dict[int, Aggregator] = {}

    def reply(self, line: str) -> str:
        """Handle one batch; return the commands as a line of JSON. Raise :class:`WireError`."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"a line is not JSON: {error}") from None
        now_us = number(batch, "time-us", "batch")
        pending: dict[int, list[policy.Event]] = {}
        for message in array(batch, "inbox", "batch"):
            self._receive(message, pending)
        commands: list[WireMessage] = []
        for who, events in pending.items():
            if who in self.instances:
                actions = self.instances[who].handle(now_us, events)
                commands.extend(action_to(who, action) for action in actions)
        return json.dumps({"cmds": commands}, separators=(",", ":"))

    def _receive(self, message: WireMessage, pending: dict[int, list[policy.Event]]) -> None:
        """Apply a message on lists or instances, or append its event to those of its instance."""
        kind = text(message, "event_type", "message")
        if kind == "list":
            entries = tuple(entry_from(entry) for entry in array(message, "members-list", kind))
            self.tables[number(message, "table", kind)] = entries
            return
        who = number(message, "who", kind)
        match kind:
            case "new-instance":
                self.instances[who] = self._new_instance(message)
                pending[who] = []
            case "power-off":
                self.instances.pop(who, None)
                pending.pop(who, None)
            case _ if kind in UNUSED:
                pending.setdefault(who, [])
            case _:
                pending.setdefault(who, []).append(event_from(message, kind, self.tables))

    def _new_instance(self, message: WireMessage) -> Aggregator:
        kind = "new-instance"
        seed = number(message, "nonce64", kind)
        try:
            return Aggregator(settings_from(required_field(message, "setup", kind)), seed)
        except ValueError as error:
            raise WireError(f"new-instance: {error}") from None


def serve(lines: Iterable[str], out: TextIO) -> None:
    """Reply to batches until the input ends."""
    host = Host()
    for line in lines:
        if line.strip():
            out.write(host.reply(line) + "\n")
            out.flush()


def main() -> int:
    """Run on standard input and output; bad input ends it with a message and code 2."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"heathwell: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
