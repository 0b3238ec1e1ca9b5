"""Rule 3: no attempt is sent to a draining or removed host after the drain grace period."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from heathwell.testing.audit.reader import Event
from heathwell.testing.audit.run_records import AttemptRecord, RunRecords
from heathwell.testing.audit.verdict import Breach, breach_from

RULE = 3
ENDING_STATES = ("draining", "gone")


@dataclass(frozen=True, slots=True)
class _StateChange:
    """A change of a host's state, as a broker was notified of it by ``update``."""

    is_ending: bool
    update: Event


StateHistory = dict[tuple[str, str], list[_StateChange]]  # by broker and host, in order of time


def check_drains(records: RunRecords) -> Iterator[Breach]:
    """Yield the attempts that were sent after the grace period."""
    grace_us = records.parameters["drain_grace"]
    history = _state_history(records)
    for attempt in records.attempts.values():
        if attempt.arrive is None:
            continue
        sent_at_us = attempt.send.t if attempt.send is not None else attempt.arrive.t - records.slack_us
        change = _last_change(history, attempt.arrive, sent_at_us)
        if change is not None and change.is_ending and sent_at_us > change.update.t + grace_us:
            yield _breach(attempt, attempt.arrive, change, sent_at_us)


def _breach(attempt: AttemptRecord, arrive: Event, change: _StateChange, sent_at_us: int) -> Breach:
    text = f"sent to {arrive['node']} {sent_at_us - change.update.t} us after word of its end"
    return breach_from(RULE, attempt.part, text, change.update, attempt.send, arrive)


def _state_history(records: RunRecords) -> StateHistory:
    history: StateHistory = defaultdict(list)
    known_hosts: dict[str, set[str]] = defaultdict(set)
    for update in records.by_kind["news"]:
        if update["kind"] == "failed":
            continue
        states: dict[str, str] = dict(update["hosts"])
        listed = set(states)
        if update["kind"] == "full":
            for node in known_hosts[update.who] - listed:
                states[node] = "gone"
        known_hosts[update.who] |= listed
        for node, state in states.items():
            history[update.who, node].append(_StateChange(state in ENDING_STATES, update))
    return history


def _last_change(history: StateHistory, arrive: Event, until_us: int) -> _StateChange | None:
    """Return the last change between ending and not ending before an instant, as the broker received it."""
    last: _StateChange | None = None
    for change in history.get((arrive["broker"], arrive["node"]), []):
        if change.update.t > until_us:
            break
        if last is None or change.is_ending != last.is_ending:
            last = change
    return last
