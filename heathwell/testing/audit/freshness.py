"""Holds the ages that answers state against the truth: what each host had really applied, and the source's
clock.

The truth comes from the hosts' logs (``true``: the source time up to which a host's data was applied when it
answered, never sent over the wire) and from the run's figures (the source's clock against the machine's).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import quantiles

from heathwell.testing.audit.reader import Event
from heathwell.testing.audit.rules import Breach


@dataclass(slots=True)
class AgeVerdict:
    """What was found: breaches (of rule 5, honesty), answers judged, those of unknown age, and the bound's
    excess.
    """

    breaches: list[Breach] = field(default_factory=list)
    judged: int = 0
    unknown: int = 0
    excess: list[int] = field(default_factory=list)
    true_ages: list[int] = field(default_factory=list)
    stale: int = 0

    @property
    def kept(self) -> bool:
        """Whether no stated age was too young, and some were judged."""
        return self.judged > 0 and not self.breaches

    def excess_at(self, share: float) -> float:
        """How much older than the truth the stated age is, in microseconds, at a share of the answers."""
        if len(self.excess) < 2:
            return float(self.excess[0]) if self.excess else 0.0
        return quantiles(self.excess, n=1000)[min(998, max(0, int(share * 1000) - 1))]


def judge_ages(events: list[Event], slack: int = 0) -> AgeVerdict:
    """Judge every answer of a run; ``slack`` (microseconds) is the time between an answer and its
    log line.
    """
    out = AgeVerdict()
    runs = [event for event in events if event.ev == "run"]
    offset = runs[0].fields["figures"].get("source_offset") if runs else None
    if offset is None:
        raise ValueError("no 'run' event with a source_offset: ages can't be judged")
    true = {(e["p"], e["seq"]): e for e in events if e.ev == "done" and "true" in e.fields}
    finals = [e for e in events if e.ev == "final" and e["kind"] in ("answered", "miss")]
    by_query: dict[str, tuple[int, Event]] = {}
    for final in finals:
        marks = [true.get((part, seq)) for part, seq in final["used"].items()]
        if not marks:
            continue
        if any(mark is None for mark in marks):
            lost = [
                part for (part, _), mark in zip(final["used"].items(), marks, strict=True) if mark is None
            ]
            out.breaches.append(
                Breach(5, final["q"], f"rests on {lost[0]}, which no host answered", (final.at,))
            )
            continue
        oldest = min((mark for mark in marks if mark is not None), key=lambda mark: int(mark["true"]))
        # The log line is written a little after the answer was put together.
        age = final.t + (final["age_at"] or 0) + offset - oldest["true"]
        by_query[final["q"]] = (age, final)
        out.judged += 1
        out.true_ages.append(age)
        stated = final["age"]
        if stated is None:
            out.unknown += 1
        elif stated < age - slack:
            out.breaches.append(
                Breach(
                    5,
                    final["q"],
                    f"states an age of {stated} us, its data was {age} us old",
                    (final.at, oldest.at),
                )
            )
        else:
            out.excess.append(stated - age)
    _told(events, by_query, slack, out)
    return out


def _told(events: list[Event], by_query: dict[str, tuple[int, Event]], slack: int, out: AgeVerdict) -> None:
    """What clients were told, against the truth of the query that it came from."""
    takes: dict[tuple[str, str], list[str]] = {}
    for event in events:
        if event.ev == "take":
            takes.setdefault((event["req"], event["key"]), []).append(event["q"])
    for reply in events:
        if reply.ev != "reply":
            continue
        for value in reply.fields.get("values", []):
            told = value.get("age_ms")
            queries = [by_query[q] for q in takes.get((reply["req"], value["key"]), []) if q in by_query]
            if told is not None and queries and all(told * 1000 < age - slack for age, _ in queries):
                age, final = queries[0]
                out.breaches.append(
                    Breach(
                        5,
                        final["q"],
                        f"the client was told {told} ms of data {age} us old",
                        (reply.at, final.at),
                    )
                )
