"""Adapter between the wire of the operators' bench and the decision module.

Each input line is a batch of messages in JSON, which are translated to events of :mod:`heathwell.policy`; the
resulting actions are translated back and written as one line. Each instance of the bench has its own
:class:`Aggregator`. The field names and codes of this wire are used in this module only, apart from those of
the platform's settings (:mod:`heathwell.gateway.settings_from_platform`).
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

WireMessage = dict[str, Any]  # one JSON object of the wire
EndpointListsByNumber = Mapping[int, tuple[policy.EndpointEntry, ...]]  # keyed by their number on the wire

ENDPOINT_STATES = {
    "live": policy.EndpointState.LIVE,
    "quiescing": policy.EndpointState.DRAINING,
    "dead": policy.EndpointState.GONE,
}
UPDATE_KINDS = {
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
IGNORED_MESSAGE_TYPES = ("peer-data", "first-byte")
EJECTION_TEXTS = {
    policy.EjectionReason.NO_CONNECTION: "no connection",
    policy.EjectionReason.PROBE_FAILED: "no answer to a probe",
    policy.EjectionReason.NO_RESPONSE: "silent while others answer",
    policy.EjectionReason.REJECTS_ALL: "turns away all that comes",
    policy.EjectionReason.CONSECUTIVE_ERRORS: "errors in a row",
}


def endpoint_entry_from(line: WireMessage) -> policy.EndpointEntry:
    """Return the entry for one line of an endpoint list; an undefined state becomes UNKNOWN."""
    where = "members-list"
    state = text(line, "availability", where)
    since = line.get("since-us")
    return policy.EndpointEntry(
        node=text(line, "node", where),
        replica_group=number(line, "place", where),
        state=ENDPOINT_STATES.get(state, policy.EndpointState.UNKNOWN),
        started_at_us=int(since) if since else None,
        rating=float(line.get("rating") or 1.0),
        zone=int(line.get("site") or 0),
    )


def endpoint_update_from(
    message: WireMessage, endpoint_lists: EndpointListsByNumber
) -> policy.EndpointUpdate:
    """Return the update for a message that refers to a numbered endpoint list or reports a failed call."""
    kind = "fleet"
    form = text(message, "form", kind)
    update_kind = coded(message, "form", kind, UPDATE_KINDS)
    endpoints: tuple[policy.EndpointEntry, ...] = ()
    if update_kind != policy.UpdateKind.FAILED:
        list_number = number(message, "table", kind)
        if list_number not in endpoint_lists:
            raise WireError(f"fleet: field 'table' names list {list_number}, which is not defined")
        endpoints = endpoint_lists[list_number]
    return policy.EndpointUpdate(update_kind, endpoints, requested=form != "restored")


def query_or_part_from(message: WireMessage) -> policy.QueryArrived | policy.PartArrived:
    """Return a part if the message names a shard, otherwise a query."""
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
    """Return the outcome of an attempt, with its endpoint's load report if there is one."""
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


def event_from(message: WireMessage, kind: str, endpoint_lists: EndpointListsByNumber) -> policy.Event:
    """Return the event for one wire message of a given type; raise :class:`WireError` for another type."""
    match kind:
        case "fleet":
            return endpoint_update_from(message, endpoint_lists)
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
            raise WireError(f"message: field 'event_type' has the unknown value {kind!r}")


def message_from_action(  # noqa: C901  # one case for each type of action
    instance: int, action: policy.Action
) -> WireMessage:
    """Return the wire message for one action."""
    match action:
        case policy.Send(id=part_id, node=node):
            return {"event_type": "transmit", "who": instance, "xid": part_id, "node": node}
        case policy.Cancel(id=part_id, seq=seq):
            return {"event_type": "abandon", "who": instance, "xid": part_id, "seq-no": seq}
        case policy.Answer(id=query_id, complete=complete):
            return {"event_type": "assemble", "who": instance, "xid": query_id, "complete": complete}
        case policy.Reject(id=query_id, retry_after_us=retry_after_us):
            return {
                "event_type": "not-now",
                "who": instance,
                "xid": query_id,
                "not-before-for-us": retry_after_us,
            }
        case policy.Fail(id=query_id):
            return {"event_type": "drop-request", "who": instance, "xid": query_id}
        case policy.Probe(node=node):
            return {"event_type": "inspect", "who": instance, "node": node}
        case policy.WatchEndpoints():
            return {"event_type": "subscribe", "who": instance, "complete": True}
        case policy.SetTimer(at_us=at_us, label=label):
            return {"event_type": "set-timer", "who": instance, "instant-us": at_us, "label": label}
        case policy.EndpointEjected() | policy.EndpointReadmitted() | policy.DiscoveryDegraded():
            return {"event_type": "journal-line", "who": instance, "text": journal_text(action)}
        case policy.QuotaExhausted():
            raise WireError("action QuotaExhausted: the bench's wire has no quotas and no message for it")


def journal_text(event: policy.OperatorEvent) -> str:
    """Return the text of the bench's journal line for an operator event."""
    match event:
        case policy.EndpointEjected(node=node, reason=reason):
            return f"server {node} ejected: {EJECTION_TEXTS[reason]}"
        case policy.EndpointReadmitted(node=node):
            return f"server {node} readmitted"
        case policy.DiscoveryDegraded():
            return "discovery: call failed or subscription broke, asking again"


class BenchAdapter:
    """The aggregators of one process, by instance number; they share only the numbered endpoint lists."""

    def __init__(self) -> None:
        self.endpoint_lists: dict[int, tuple[policy.EndpointEntry, ...]] = {}
        self.aggregators: dict[int, Aggregator] = {}

    def reply(self, line: str) -> str:
        """Handle one batch; return its commands as a line of JSON. Raise :class:`WireError` for bad input."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise WireError(f"batch: a JSON object on one line is expected: {error}") from None
        now_us = number(batch, "time-us", "batch")
        pending: dict[int, list[policy.Event]] = {}
        for message in array(batch, "inbox", "batch"):
            self._receive(message, pending)
        commands: list[WireMessage] = []
        for instance, events in pending.items():
            if instance in self.aggregators:
                actions = self.aggregators[instance].handle(now_us, events)
                commands.extend(message_from_action(instance, action) for action in actions)
        return json.dumps({"cmds": commands}, separators=(",", ":"))

    def _receive(self, message: WireMessage, pending: dict[int, list[policy.Event]]) -> None:
        """Apply a message about endpoint lists or instances, or append its event to those of its instance."""
        kind = text(message, "event_type", "message")
        if kind == "list":
            entries = tuple(endpoint_entry_from(entry) for entry in array(message, "members-list", kind))
            self.endpoint_lists[number(message, "table", kind)] = entries
            return
        instance = number(message, "who", kind)
        match kind:
            case "new-instance":
                self.aggregators[instance] = self._new_instance(message)
                pending[instance] = []
            case "power-off":
                self.aggregators.pop(instance, None)
                pending.pop(instance, None)
            case _ if kind in IGNORED_MESSAGE_TYPES:
                pending.setdefault(instance, [])
            case _:
                pending.setdefault(instance, []).append(event_from(message, kind, self.endpoint_lists))

    def _new_instance(self, message: WireMessage) -> Aggregator:
        kind = "new-instance"
        seed = number(message, "nonce64", kind)
        try:
            return Aggregator(settings_from(required_field(message, "setup", kind)), seed)
        except ValueError as error:
            raise WireError(f"new-instance: {error}") from None


def serve(lines: Iterable[str], out: TextIO) -> None:
    """Reply to each line of input until the input ends."""
    adapter = BenchAdapter()
    for line in lines:
        if line.strip():
            out.write(adapter.reply(line) + "\n")
            out.flush()


def main() -> int:
    """Serve standard input and output; bad input ends the process with a message and exit status 2."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"heathwell: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
