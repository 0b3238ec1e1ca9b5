"""Rule 5: no answer is below its class's minimum fraction, and none is wrongly marked complete."""

from __future__ import annotations

import math
from collections.abc import Iterator

from heathwell.testing.audit.reader import Event
from heathwell.testing.audit.run_records import AttemptRecord, QueryRecord, RunRecords
from heathwell.testing.audit.verdict import Breach, breach_from

RULE = 5
ANSWERS = ("answered", "miss")
WEIGHT_TOLERANCE = 1e-4  # for rounding in sums of weights


def check_completeness(records: RunRecords) -> Iterator[Breach]:
    """Yield the breaches of the rule in the records of brokers and hosts."""
    for query in records.queries.values():
        for attempt in query.attempts():
            yield from _check_answered(records, attempt)
        for final in query.finals:
            if final["kind"] in ANSWERS:
                yield from _check_parts(records, query, final)
                yield from _check_fractions(records, query, final)


def _check_answered(records: RunRecords, attempt: AttemptRecord) -> Iterator[Breach]:
    """Check an attempt that its broker recorded as answered against the host's record."""
    ended = attempt.ended
    if ended is None or ended["outcome"] != "ok":
        return
    if attempt.done is not None and attempt.done["outcome"] == "ok":
        return
    if attempt.arrive is not None and records.was_killed_before(attempt.arrive.who, ended.t):
        return
    yield breach_from(RULE, attempt.part, "told as answered, but no host answered it", ended, attempt.done)


def _check_parts(records: RunRecords, query: QueryRecord, final: Event) -> Iterator[Breach]:
    parts: list[str] = final["parts"]
    if len(set(parts)) != len(parts):
        yield breach_from(RULE, query.id, "a part counted twice", final)
    for part in parts:
        if not _has_host_answered(records, query, part, final):
            yield breach_from(RULE, query.id, f"rests on part {part}, which no host had answered", final)
    for part in _wrongly_superseded(records, query, final):
        text = f"part {part} left out, which could have changed the rows"
        yield breach_from(RULE, query.id, text, final)


def _check_fractions(records: RunRecords, query: QueryRecord, final: Event) -> Iterator[Breach]:
    spec = records.class_of(query)
    first_step = first_step_parts(query, final)
    counted = set(first_step) | set(_superseded_parts(final))
    weight = len(counted) / query.take["parts"]
    if weight < spec["floor"] - WEIGHT_TOLERANCE:
        text = f"answered from {weight:.3f} of its parts, under {spec['floor']}"
        yield breach_from(RULE, query.id, text, final)
    if not final["whole"]:
        return
    if weight < spec["need"] - WEIGHT_TOLERANCE:
        text = f"marked whole from {weight:.3f}, under {spec['need']}"
        yield breach_from(RULE, query.id, text, final)
    second_step_count = len(set(final["parts"])) - len(set(first_step))
    if spec["fetch"] and second_step_count < min(spec["fetch"], len(first_step)):
        text = f"marked whole with {second_step_count} parts of its second step"
        yield breach_from(RULE, query.id, text, final)
    if any(not event["whole"] for event in query.first_step_answers):
        text = "marked whole though its first step was not"
        yield breach_from(RULE, query.id, text, *query.first_step_answers, final)


def first_step_parts(query: QueryRecord, final: Event) -> list[str]:
    """Return the parts of a final answer that belong to the query's first step."""
    return [part for part in final["parts"] if int(part.rpartition("/")[2]) < query.take["parts"]]


def _superseded_parts(final: Event) -> list[str]:
    parts: list[str] = final.fields.get("moot", [])
    return parts


def _wrongly_superseded(records: RunRecords, query: QueryRecord, final: Event) -> list[str]:
    """Return the superseded parts that could have changed the rows, by the hosts' score bounds."""
    superseded = _superseded_parts(final)
    if not superseded:
        return []
    required_scores = [
        _required_score(records, query, final, search) for search in range(len(query.take["wanted"]))
    ]
    return [
        part
        for part in superseded
        if not any(
            _is_ruled_out(bound["best"], required_scores)
            for bound in records.bounds[part]
            if bound.t <= final.t
        )
    ]


def _required_score(records: RunRecords, query: QueryRecord, final: Event, search: int) -> float:
    """Return the score that a further row must reach to be among the rows of a search."""
    best_scores: dict[int | str, float] = {}
    for part, seq in final["used"].items():
        done = records.attempts[part, seq].done
        for point, score in done["rows"][search] if done is not None else ():
            best_scores[point] = max(score, best_scores.get(point, score))
    ranked = sorted(best_scores.values(), reverse=True)
    count = query.take["wanted"][search]
    last_score = ranked[count - 1] if len(ranked) >= count else -math.inf
    threshold = query.take["least"][search]
    return max(last_score, threshold if threshold is not None else -math.inf)


def _is_ruled_out(score_bounds: list[float], required_scores: list[float]) -> bool:
    return all(
        bound < required or bound == -math.inf
        for bound, required in zip(score_bounds, required_scores, strict=True)
    )


def _has_host_answered(records: RunRecords, query: QueryRecord, part: str, final: Event) -> bool:
    for attempt in query.parts.get(part, []):
        done = attempt.done
        if done is not None and done["outcome"] == "ok" and done.t <= final.t:
            return True
        # A host that is killed right after it answered may not have logged it; its broker has the answer.
        is_ok = attempt.ended is not None and attempt.ended["outcome"] == "ok"
        if is_ok and attempt.arrive is not None:
            if records.was_killed_before(attempt.arrive.who, final.t):
                return True
    return False
