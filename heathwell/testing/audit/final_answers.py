"""Rule 1: each query has one final answer by its deadline, and no attempt is sent after it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from heathwell.testing.audit.reader import Event
from heathwell.testing.audit.run_records import QueryRecord, RunRecords, broker_name, request_id
from heathwell.testing.audit.verdict import Breach, breach_from

RULE = 1


def check_final_answers(records: RunRecords) -> Iterator[Breach]:
    """Yield the breaches of the rule in the records of brokers and clients."""
    for query in records.queries.values():
        yield from _check_finals(records, query)
        yield from _check_nothing_after(records, query)
    replies: dict[str, list[Event]] = defaultdict(list)
    for event in records.by_kind["reply"]:
        replies[request_id(event)].append(event)
    for ask in records.by_kind["ask"]:
        yield from _check_client(records, ask, replies.get(request_id(ask), []))


def _check_finals(records: RunRecords, query: QueryRecord) -> Iterator[Breach]:
    take = query.take
    # The client's deadline; the broker's own is earlier, to leave time for the reply's transit.
    due_us = take.t + int(records.class_of(query)["limit"] / records.clock_rate(take.who))
    due_us += records.paused_us(broker_name(take.who), take.t, due_us)
    if len(query.finals) > 1:
        yield breach_from(RULE, query.id, f"{len(query.finals)} final answers", take, *query.finals)
    elif not query.finals and query.left is None and not records.was_killed_before(take.who, due_us):
        yield breach_from(RULE, query.id, "no final answer", take)
    for final in query.finals:
        if final.t > due_us:
            yield breach_from(RULE, query.id, f"final answer {final.t - due_us} us too late", take, final)
        if query.left is not None and final.t > query.left.t:
            yield breach_from(RULE, query.id, "final answer after its client had left", query.left, final)


def _check_nothing_after(records: RunRecords, query: QueryRecord) -> Iterator[Breach]:
    ends = [*query.finals, query.left] if query.left is not None else query.finals
    if not ends:
        return
    end = min(ends, key=lambda event: event.t)
    for attempt in query.attempts():
        if attempt.send is not None:
            if attempt.send.t > end.t:
                text = f"part {attempt.part} sent after the final answer"
                yield breach_from(RULE, query.id, text, end, attempt.send)
        elif attempt.arrive is not None and attempt.arrive.t > end.t + records.slack_us:
            text = f"part {attempt.part} reached a host after the final answer"
            yield breach_from(RULE, query.id, text, end, attempt.arrive)


def _check_client(records: RunRecords, ask: Event, replies: list[Event]) -> Iterator[Breach]:
    request = ask["req"]
    if len(replies) > 1:
        yield breach_from(RULE, request, f"the client saw {len(replies)} replies", ask, *replies)
    elif not replies and not _is_broker_lost(records, ask):
        if records.last_event_at_us[ask.who] > ask.t + ask["limit"]:
            yield breach_from(RULE, request, "the client saw no reply", ask)
    for reply in replies:
        text = _reply_problem(records, ask, reply)
        if text is not None:
            yield breach_from(RULE, request, text, ask, reply)


def _reply_problem(records: RunRecords, ask: Event, reply: Event) -> str | None:
    due_us = ask.t + ask["limit"]
    paused_us = records.paused_us(ask["broker"], ask.t, due_us)
    kind = reply["kind"]
    if kind in ("answer", "error"):
        if reply.t > due_us + records.slack_us + paused_us:
            return f"the client's reply came {reply.t - due_us} us after its time"
    elif kind == "timeout":
        if not paused_us and not _is_broker_lost(records, ask):
            return "the client's time ran out without a reply"
    elif kind == "broken":
        if not _is_broker_lost(records, ask) and _was_taken(records, ask, reply):
            return "the connection broke though the broker ran on"
    return None


def _is_broker_lost(records: RunRecords, ask: Event) -> bool:
    """Return whether the requested broker was killed or stopped before the client's deadline."""
    until_us = ask.t + ask["limit"] + records.slack_us
    return any(
        ask.t - records.slack_us <= last_us <= until_us
        for who, last_us in records.last_event_at_us.items()
        if broker_name(who) == ask["broker"]
    )


def _was_taken(records: RunRecords, ask: Event, reply: Event) -> bool:
    """Return whether the request reached a broker that was running.

    A connection may also break on its next use because the broker was killed before the request, which the
    client had not noticed.
    """
    if any(records.queries_of(ask, key, reply.t) for key in ask["keys"]):
        return True
    for event in records.by_kind["door"]:
        if event["req"] == ask["req"] and ask.t <= event.t <= reply.t:
            return True
    return not any(
        broker_name(who) == ask["broker"] and records.was_killed_before(who, ask.t)
        for who in records.last_event_at_us
    )
