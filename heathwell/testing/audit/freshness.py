"""Checks the data ages that answers state against the true ages.

The field ``true`` in the hosts' logs, which is never sent over the wire, is the source time up to which a
host's data was applied when the host answered. The offset of the source's clock from the machine's is a
parameter of the run.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from statistics import quantiles

from heathwell.testing.audit.completeness import ANSWERS
from heathwell.testing.audit.reader import Event
from heathwell.testing.audit.verdict import Breach, breach_from

RULE = 5
QUANTILES = 1000
DoneEvents = dict[tuple[str, int], Event]  # by part and number of the attempt


@dataclass(slots=True)
class AgeVerdict:
    """The result of a run.

    ``judged`` counts the checked answers, ``unknown`` those of them that state no age. ``excess`` has,
    for each of the others that is no breach, the stated age less the true one (us); ``true_ages`` has all
    true ages (us).
    """

    breaches: list[Breach] = field(default_factory=list)
    judged: int = 0
    unknown: int = 0
    excess: list[int] = field(default_factory=list)
    true_ages: list[int] = field(default_factory=list)
    stale: int = 0

    @property
    def kept(self) -> bool:
        """Whether no stated age was below the true one; false for a run without any checked answer."""
        return self.judged > 0 and not self.breaches

    def excess_at(self, fraction: float) -> float:
        """Return a quantile of the excess of stated ages (us)."""
        if len(self.excess) < 2:
            return float(self.excess[0]) if self.excess else 0.0
        position = int(fraction * QUANTILES) - 1
        return quantiles(self.excess, n=QUANTILES)[min(QUANTILES - 2, max(0, position))]


@dataclass(frozen=True, slots=True)
class _JudgedAnswer:
    final: Event
    true_age_us: int


def judge_ages(events: list[Event], slack: int = 0) -> AgeVerdict:
    """Return the verdict on the ages of all answers of a run.

    ``slack`` (us) is the most time between an answer and its record in the log. Raise :class:`ValueError`
    where the run does not state the offset of the source's clock.
    """
    runs = [event for event in events if event.ev == "run"]
    offset_us = runs[0].fields["figures"].get("source_offset") if runs else None
    if offset_us is None:
        raise ValueError("no 'run' event with 'source_offset' in its 'figures': ages can't be audited")
    done_events = {
        (event["p"], event["seq"]): event for event in events if event.ev == "done" and "true" in event.fields
    }
    verdict = AgeVerdict()
    answers: dict[str, _JudgedAnswer] = {}
    for final in events:
        if final.ev == "final" and final["kind"] in ANSWERS:
            answer = _judge_answer(final, done_events, offset_us, slack, verdict)
            if answer is not None:
                answers[final["q"]] = answer
    verdict.breaches += _check_client_ages(events, answers, slack)
    return verdict


def _judge_answer(
    final: Event, done_events: DoneEvents, offset_us: int, slack_us: int, verdict: AgeVerdict
) -> _JudgedAnswer | None:
    used = final["used"].items()
    if not used:
        return None
    unanswered = [part for part, seq in used if (part, seq) not in done_events]
    if unanswered:
        text = f"rests on {unanswered[0]}, which no host answered"
        verdict.breaches.append(breach_from(RULE, final["q"], text, final))
        return None
    oldest = min((done_events[part, seq] for part, seq in used), key=lambda done: int(done["true"]))
    # The event is logged some time after the answer was merged; ``age_at`` is the merge relative to it.
    age_us = final.t + (final["age_at"] or 0) + offset_us - oldest["true"]
    verdict.judged += 1
    verdict.true_ages.append(age_us)
    stated_us = final["age"]
    if stated_us is None:
        verdict.unknown += 1
    elif stated_us < age_us - slack_us:
        text = f"states an age of {stated_us} us, its data was {age_us} us old"
        verdict.breaches.append(breach_from(RULE, final["q"], text, final, oldest))
    else:
        verdict.excess.append(stated_us - age_us)
    return _JudgedAnswer(final, age_us)


def _check_client_ages(
    events: list[Event], answers: dict[str, _JudgedAnswer], slack_us: int
) -> Iterator[Breach]:
    """Check the ages that clients received against the answers of their queries."""
    queries: dict[tuple[str, str], list[str]] = {}
    for event in events:
        if event.ev == "take":
            queries.setdefault((event["req"], event["key"]), []).append(event["q"])
    for reply in events:
        if reply.ev != "reply":
            continue
        for value in reply.fields.get("values", []):
            stated_ms = value.get("age_ms")
            ids = queries.get((reply["req"], value["key"]), [])
            judged = [answers[query_id] for query_id in ids if query_id in answers]
            if stated_ms is None or not judged:
                continue
            if all(stated_ms * 1000 < answer.true_age_us - slack_us for answer in judged):
                text = f"the client was told {stated_ms} ms of data {judged[0].true_age_us} us old"
                yield breach_from(RULE, judged[0].final["q"], text, reply, judged[0].final)
