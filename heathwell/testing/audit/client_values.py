"""Rules 1 and 5 at the clients: received values agree with the final answers of the brokers."""

from __future__ import annotations

from collections.abc import Iterator

from heathwell.testing.audit.completeness import first_step_parts
from heathwell.testing.audit.reader import Event, JsonObject
from heathwell.testing.audit.run_records import QueryRecord, RunRecords, request_id
from heathwell.testing.audit.verdict import Breach, breach_from

FINAL_ANSWER_RULE = 1
COMPLETENESS_RULE = 5


def check_client_values(records: RunRecords) -> Iterator[Breach]:
    """Yield the received values that no final answer of a broker accounts for."""
    asks = {request_id(ask): ask for ask in records.by_kind["ask"]}
    for reply in records.by_kind["reply"]:
        ask = asks.get(request_id(reply))
        if ask is None:
            continue
        for value in reply.fields.get("values", []):
            yield from _check_value(records, ask, reply, value)


def _check_value(records: RunRecords, ask: Event, reply: Event, value: JsonObject) -> Iterator[Breach]:
    queries = records.queries_of(ask, value["key"], reply.t)
    finals = [(query, query.finals[0]) for query in queries if query.finals]
    if not queries:
        text = f"a value of '{value['key']}' that no broker took"
        yield breach_from(COMPLETENESS_RULE, reply["req"], text, ask, reply)
        return
    if not finals:
        text = "the client got a value, the broker gave no final answer"
        yield breach_from(FINAL_ANSWER_RULE, queries[0].take["q"], text, reply)
        return
    problems = [_find_problem(value, query, final) for query, final in finals]
    if problems[0] is not None and None not in problems:
        yield breach_from(COMPLETENESS_RULE, queries[0].take["q"], problems[0], reply, finals[0][1])


def _find_problem(value: JsonObject, query: QueryRecord, final: Event) -> str | None:
    """Return how a value overstates its query's final answer, or None."""
    if value["whole"] and not final["whole"]:
        return "the client was told whole, the answer was not"
    if value["got"] > len(first_step_parts(query, final)):
        return "the client was told of more parts than were in"
    return None
