"""What experiments derive from a run: service by time, recovery, decisions, and the auditor of quotas."""

import msgspec

from heathwell.fleet.evacuation import ZoneState
from heathwell.fleet.quotas import Budget, BudgetKind
from heathwell.testing.simulation.call_schedule import CallSchedule
from heathwell.testing.simulation.evacuation_result import (
    DecisionEvent,
    EvacuationResult,
    read_decisions,
    summarize_decisions,
)
from heathwell.testing.simulation.outage_record import ClientBehavior, ClientRequest, OutageRecord
from heathwell.testing.simulation.quota_auditor import Overshoot, OvershootKind, QuotaAuditor
from heathwell.testing.simulation.simulated_scenario import QueryOutcome

S = 1_000_000
OBEYS = ClientBehavior.OBEYS_RETRY_AFTER
IGNORES = ClientBehavior.IGNORES_RETRY_AFTER


def decision(seconds, process, number, **states):
    return DecisionEvent(int(seconds * S), process, 1, number, states)


def test_calls_at_the_same_time_are_made_in_the_order_of_scheduling():
    schedule = CallSchedule()
    made = []
    schedule.call_at(2, lambda: made.append("late"))
    schedule.call_at(1, lambda: made.append("first"))
    schedule.call_at(1, lambda: schedule.call_at(1, lambda: made.append("scheduled meanwhile")))
    schedule.call_at(3, lambda: made.append("too late"))
    schedule.run_until(2)
    assert made == ["first", "scheduled meanwhile", "late"] and schedule.now_us == 2


def test_a_rate_may_be_used_as_far_as_its_burst_and_no_further():
    auditor = QuotaAuditor([Budget("rate", BudgetKind.RATE, 2_000, 0, 1, burst_window_us=S)])
    for _ in range(2):
        auditor.record_use(0, "rate")
    assert not auditor.overshoots
    auditor.record_use(0, "rate")
    assert auditor.overshoots == [Overshoot(0, OvershootKind.RATE, "rate", None, 2_000)]
    assert str(auditor.overshoots[0]) == "0.000 s: more of rate was used than 2.0 a second"
    auditor.record_use(S, "rate")  # a unit was owed, two have accrued
    assert len(auditor.overshoots) == 1 and auditor.units_used["rate"] == {0: 3, 1: 1}


def test_service_is_recovered_when_three_seconds_in_a_row_are_as_before():
    record = OutageRecord(outage_started_at_us=10 * S, outage_ended_at_us=20 * S)
    for second in range(2, 40):
        is_lost = 10 <= second < 25
        outcome = None if is_lost else QueryOutcome.ON_TIME
        record.requests.append(ClientRequest(second * S, "a", OBEYS, outcome))
        record.requests.append(ClientRequest(second * S, "a", IGNORES, QueryOutcome.LATE))
    assert record.recovery_seconds() == 5.0
    level = record.service_level(20 * S, 30 * S)
    assert (level.on_time_fraction, level.answered_fraction, level.request_count) == (0.25, 0.75, 20)
    assert record.service_level(20 * S, 30 * S, IGNORES).answered_fraction == 1.0
    assert record.service_level(50 * S, 60 * S).request_count == 0
    assert OutageRecord(record.requests[:40], 10 * S, 20 * S).recovery_seconds() is None


def test_decisions_are_summarized_from_the_fault_on():
    summary = summarize_decisions(
        [
            decision(9, "k0", 1, zb=ZoneState.EVACUATING),  # before the fault: no answer to it
            decision(11.5, "k0", 2, zb=ZoneState.SERVING),
            decision(13, "k0", 3, zb=ZoneState.EVACUATED, za=ZoneState.SERVING),
            decision(13.25, "b0r1", 3, zb=ZoneState.EVACUATED),
            decision(14, "b1r1", 3, zb=ZoneState.EVACUATED),
            decision(30, "k0", 4),
        ],
        10 * S,
    )
    assert summary.evacuated_after_seconds == 3.0 and summary.restored_after_seconds == 20.0
    assert summary.evacuations == 2 and summary.other_evacuated_zones == ["za"]
    assert summary.max_propagation_seconds == 0.75


def test_without_an_evacuation_there_is_no_restore():
    summary = summarize_decisions([decision(12, "k0", 1)], 10 * S)
    assert summary.evacuated_after_seconds is None and summary.restored_after_seconds is None
    assert summary.evacuations == 0 and summary.max_propagation_seconds == 0.0


def test_only_decisions_on_zones_are_read_from_an_event_log():
    states = {"zb": [ZoneState.EVACUATED.value, 0.0]}
    events = [
        {"t": 1, "who": "k0", "ev": "send"},
        {"t": 2, "who": "k0", "ev": "zones", "term": 1, "number": 2, "states": states},
    ]
    assert read_decisions(events) == [DecisionEvent(2, "k0", 1, 2, {"zb": ZoneState.EVACUATED})]


def test_results_of_evacuations_keep_the_names_of_earlier_versions():
    names = [field.encode_name for field in msgspec.structs.fields(EvacuationResult)]
    assert names == [
        "kind",
        "variant",
        "seed",
        "service",
        "worst",
        "all",
        "left_after_s",
        "back_after_s",
        "others_left",
        "leaves",
        "apart_s",
        "fell",
        "coldest",
        "broken",
        "rules",
    ]
