"""Rule 2: no effect occurs twice, and no attempt is sent that the class's idempotency forbids."""

from __future__ import annotations

from collections.abc import Iterator

from heathwell.testing.audit.reader import Event
from heathwell.testing.audit.run_records import (
    NOT_STARTED_OUTCOMES,
    AttemptRecord,
    QueryRecord,
    RunRecords,
)
from heathwell.testing.audit.verdict import Breach, breach_from

RULE = 2


def check_effects(records: RunRecords) -> Iterator[Breach]:
    """Yield the breaches of the rule in the records of brokers and hosts."""
    for found in records.duplicates:
        text = f"attempt {found.attempt.seq} has two '{found.name}' events"
        yield breach_from(RULE, found.attempt.part, text, found.first, found.second)
    for query in records.queries.values():
        for part, attempts in query.parts.items():
            yield from _check_part(records, query, part, attempts)
        yield from _check_refusal(records, query)
    yield from _check_unlogged(records)
    yield from _check_repeated_effects(records)


def _check_part(
    records: RunRecords, query: QueryRecord, part: str, attempts: list[AttemptRecord]
) -> Iterator[Breach]:
    maximum = records.parameters["attempts"]
    if len(attempts) > maximum:
        text = f"{len(attempts)} attempts, over the limit of {maximum}"
        yield breach_from(RULE, part, text, attempts[-1].send)
    for attempt in attempts:
        yield from _check_not_started(attempt)
    for number, later in enumerate(attempts[1:], 1):
        start = later.started
        if start is not None:
            yield from _check_overlap(records, attempts[:number], later, start)
            yield from _check_repetition(records, query, attempts[:number], later, start)


def _check_not_started(attempt: AttemptRecord) -> Iterator[Breach]:
    """Check that an attempt which its broker recorded as never started was not begun by the host."""
    if attempt.ended is None or attempt.begin is None:
        return
    outcome = attempt.ended["outcome"]
    if outcome in NOT_STARTED_OUTCOMES and attempt.begin.t <= attempt.ended.t:
        text = f"told as '{outcome}' though the host had begun it"
        yield breach_from(RULE, attempt.part, text, attempt.begin, attempt.ended)


def _check_overlap(
    records: RunRecords, earlier_attempts: list[AttemptRecord], later: AttemptRecord, start: Event
) -> Iterator[Breach]:
    if records.parameters["second_copies"]:
        return
    for earlier in earlier_attempts:
        end = earlier.ended or earlier.done
        if end is None or end.t > start.t:
            text = f"attempts {earlier.seq} and {later.seq} were out at once"
            yield breach_from(RULE, later.part, text, earlier.send, start, end)


def _check_repetition(
    records: RunRecords,
    query: QueryRecord,
    earlier_attempts: list[AttemptRecord],
    later: AttemptRecord,
    start: Event,
) -> Iterator[Breach]:
    spec = records.class_of(query)
    may_have_run = [attempt for attempt in earlier_attempts if attempt.may_have_run()]
    if not may_have_run:
        return
    if spec["repeat"] == "unsafe":
        text = f"unsafe part sent again as attempt {later.seq}"
        yield breach_from(RULE, later.part, text, may_have_run[0].arrive, start)
    if spec["repeat"] == "keyed":
        first_us = min(started.t for attempt in may_have_run if (started := attempt.started) is not None)
        if start.t > first_us + spec["dedup"]:
            text = f"keyed part sent again {start.t - first_us} us after its first attempt"
            yield breach_from(RULE, later.part, text, may_have_run[0].send, start)


def _check_refusal(records: RunRecords, query: QueryRecord) -> Iterator[Breach]:
    if records.class_of(query)["repeat"] != "unsafe":
        return
    for final in query.finals:
        may_have_run = [attempt for attempt in query.attempts() if attempt.may_have_run()]
        if final["kind"] == "refused" and may_have_run:
            text = "refused though a part may have run"
            yield breach_from(RULE, query.id, text, final, may_have_run[0].arrive)


def _check_unlogged(records: RunRecords) -> Iterator[Breach]:
    """Check that brokers logged all attempts that hosts received; only a killed broker may miss some."""
    for attempt in records.attempts.values():
        if attempt.arrive is None or attempt.send is not None:
            continue
        broker = attempt.arrive["broker"]
        is_known = broker in records.last_event_at_us
        if not is_known or not records.was_killed_before(broker, attempt.arrive.t + records.slack_us):
            text = f"attempt {attempt.seq} reached a host and its broker logged no send"
            yield breach_from(RULE, attempt.part, text, attempt.arrive)


def _check_repeated_effects(records: RunRecords) -> Iterator[Breach]:
    """Check that no unsafe part, and no part outside its idempotency window, had its effect twice."""
    first_effects: dict[str, Event] = {}
    for event in records.by_kind["effect"]:
        part = event["p"]
        first = first_effects.setdefault(part, event)
        query = records.query_of(part)
        if first is event or query is None:
            continue
        spec = records.class_of(query)
        sent_at_us = [attempt.send.t for attempt in query.parts.get(part, []) if attempt.send is not None]
        if spec["repeat"] == "unsafe" or max(sent_at_us) - min(sent_at_us) > spec["dedup"]:
            yield breach_from(RULE, part, "its effect happened twice", first, event)
