"""Rule 4: the brokers together do not overload endpoints in slow start."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator

from heathwell.testing.audit.reader import Event
from heathwell.testing.audit.run_records import RunRecords
from heathwell.testing.audit.verdict import Breach, Verdict, breach_from

RULE = 4
FULL_CAPACITY = 1.0
TOLERATED_PARTS = 1.0  # a window may open with one part due, as work arrives in whole parts


def check_slow_starts(records: RunRecords, verdict: Verdict) -> Iterator[Breach]:
    """Yield the overloads of endpoints in slow start, and record the greatest load in the verdict."""
    for fell in records.by_kind["fell"]:
        yield breach_from(RULE, fell["node"], "a cold host was pushed over", fell)
    window_us = records.parameters["fall_after"]
    if not window_us or not records.parameters["fall_multiple"]:
        return
    starts: dict[str, Event] = {}
    windows: dict[str, deque[tuple[int, float]]] = defaultdict(deque)
    for event in records.events:
        if event.ev == "up":
            starts[event["node"]] = event
            windows[event["node"]].clear()
        elif event.ev == "arrive" and event["warmth"] < FULL_CAPACITY and event["node"] in starts:
            window = windows[event["node"]]
            window.append((event.t, _work_us(records, event)))
            while window[0][0] <= event.t - window_us:
                window.popleft()
            work_us = sum(entry[1] for entry in window) - TOLERATED_PARTS * window[0][1]
            ratio = work_us / _capacity_us(records, starts[event["node"]], event)
            verdict.coldest = max(verdict.coldest, ratio)
            if ratio > 1.0:
                text = f"sent {ratio:.2f} of what a cold host bears"
                yield breach_from(RULE, event["node"], text, event)


def _work_us(records: RunRecords, arrive: Event) -> float:
    spec = records.parameters["classes"].get(arrive["klass"])
    return float(spec["work"]) if spec else 0.0


def _capacity_us(records: RunRecords, start: Event, arrive: Event) -> float:
    """Return the most work (us) within the window that does not overload an endpoint in slow start."""
    multiple: float = records.parameters["fall_multiple"]
    window_us: int = records.parameters["fall_after"]
    return float(multiple * start["rate"] * arrive["warmth"] * window_us)
