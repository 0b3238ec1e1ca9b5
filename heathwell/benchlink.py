"""The wire of the operators' bench on one side, the library on the other.

Each line of JSON is translated to events of :mod:`heathwell.policy`, each
reply back; there is one :class:`Aggregator` for each instance. Nothing is
decided here.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from heathwell import policy
from heathwell.gateway.settings_from_platform import (
    WireError,
    coded,
    need,
    number,
    rows,
    settings_from,
    share,
    text,
)
from heathwell.policy.aggregator import Aggregator

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


def entry_from(line: Any) -> policy.EndpointEntry:
    """One line of a wire list; a state the wire does not know is passed on as unknown."""
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


def event_from(
    message: dict[str, Any], kind: str, tables: dict[int, tuple[policy.EndpointEntry, ...]]
) -> policy.Event:
    """The library's event for one wire message of a given type."""
    if kind == "fleet":
        form = text(message, "form", kind)
        word = coded(message, "form", kind, FORMS)
        servers: tuple[policy.EndpointEntry, ...] = ()
        if word != policy.UpdateKind.FAILED:
            table = number(message, "table", kind)
            if table not in tables:
                raise WireError(f"fleet: field 'table' names list {table}, which was never given")
            servers = tables[table]
        return policy.EndpointUpdate(word, servers, requested=form != "restored")
    if kind == "query":
        shard = number(message, "range-no", kind)
        hint = message.get("size-hint-us")
        key = message.get("key")
        if shard < 0:
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
        return policy.PartArrived(
            id=text(message, "xid", kind),
            job=number(message, "job-no", kind),
            shard=shard,
            weight=share(message, "amount", kind),
            work_hint_us=hint,
            key=key,
        )
    if kind == "returned":
        stats = message.get("stats") or {}
        return policy.AttemptEnded(
            id=text(message, "xid", kind),
            seq=number(message, "seq-no", kind),
            node=text(message, "node", kind),
            outcome=coded(message, "verdict", kind, OUTCOMES),
            elapsed_us=number(message, "elapsed-us", kind),
            in_flight=stats.get("active"),
            cpu_utilization=stats.get("cpu"),
        )
    if kind == "probed":
        return policy.ProbeEnded(text(message, "node", kind), coded(message, "verdict", kind, OUTCOMES))
    if kind == "elapsed":
        return policy.TimerFired(text(message, "label", kind))
    if kind == "expired":
        return policy.ClientDisconnected(text(message, "xid", kind))
    raise WireError(f"message of unknown type '{kind}'")


def action_to(who: int, action: policy.Action) -> dict[str, Any]:
    """The wire message for one action."""
    match action:
        case policy.Send(id=part, node=node):
            return {"event_type": "transmit", "who": who, "xid": part, "node": node}
        case policy.Cancel(id=part, seq=seq):
            return {"event_type": "abandon", "who": who, "xid": part, "seq-no": seq}
        case policy.Answer(id=query, complete=whole):
            return {"event_type": "assemble", "who": who, "xid": query, "complete": whole}
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
            raise WireError("a budget of the whole fleet, which the bench never tells of")


def journal_text(event: policy.OperatorEvent) -> str:
    """The sentence of the bench's journal for an event."""
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
        """The reply to one batch."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"a line is not JSON: {error}") from None
        now = number(batch, "time-us", "batch")
        pending: dict[int, list[policy.Event]] = {}
        for message in rows(batch, "inbox", "batch"):
            kind = text(message, "event_type", "message")
            if kind == "list":
                entries = tuple(entry_from(entry) for entry in rows(message, "members-list", kind))
                self.tables[number(message, "table", kind)] = entries
                continue
            who = number(message, "who", kind)
            if kind == "new-instance":
                seed = number(message, "nonce64", kind)
                try:
                    self.instances[who] = Aggregator(settings_from(need(message, "setup", kind)), seed)
                except ValueError as error:
                    raise WireError(f"new-instance: {error}") from None
                pending[who] = []
            elif kind == "power-off":
                self.instances.pop(who, None)
                pending.pop(who, None)
            elif kind in UNUSED:
                pending.setdefault(who, [])
            else:
                pending.setdefault(who, []).append(event_from(message, kind, self.tables))
        commands: list[dict[str, Any]] = []
        for who, events in pending.items():
            if who in self.instances:
                actions = self.instances[who].handle(now, events)
                commands.extend(action_to(who, action) for action in actions)
        return json.dumps({"cmds": commands}, separators=(",", ":"))


def serve(lines: Iterable[str], out: TextIO) -> None:
    """Answer batches until the input ends."""
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
