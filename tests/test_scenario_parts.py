"""The parts that simulated scenarios are built of: settings, faults, replies of clients and outcomes."""

from __future__ import annotations

import pytest

from heathwell.eventloop import StreamBrokenError, virtual_loop
from heathwell.settings import loads
from heathwell.testing.simulation import demo_settings, multi_broker_scenario
from heathwell.testing.simulation.experiment_phases import Phase, phase_order
from heathwell.testing.simulation.host_faults import HOST_FAULTS, LAG_FAULTS, SEARCH_FAULTS
from heathwell.testing.simulation.memcached_values import CoverageFields, ReplyBody, read_values
from heathwell.testing.simulation.region_comparison import FaultComparison, variant_result
from heathwell.testing.simulation.region_experiment import RegionFault, RegionScenario
from heathwell.testing.simulation.region_settings import (
    VARIANTS,
    ZONE_NAMES,
    across_section,
    region_of_number,
)
from heathwell.testing.simulation.search_requests import (
    MalformedSearchReplyError,
    SearchReplyBody,
    SearchResult,
)
from heathwell.testing.simulation.simulated_scenario import (
    CompletedQuery,
    QueryOutcome,
    ScenarioTaskError,
    SimulatedScenario,
)
from heathwell.testing.standins.fault_commands import parse_fault_kind
from heathwell.testing.standins.leaf_faults import LeafFault

DEMO_SETTINGS = demo_settings.settings_text(
    demo_settings.price_search_class(work_ms=20, minimum_percent=50),
    demo_settings.day_report_class(second_step_parts=3, second_step_work_percent=50),
    demo_settings.sale_record_class(work_ms=15),
    demo_settings.SALE_KEYS,
    demo_settings.PRICE_KEYS,
    demo_settings.report_keys(parts=2),
    demo_settings.fleet_section(
        shards=8, replica_groups=4, replicas=2, zones=ZONE_NAMES, leaves=4, brokers=2
    ),
    demo_settings.RULES,
    demo_settings.limits_section(max_in_flight=100, max_retry_after_ms=500),
    demo_settings.discovery_section(notice_ms=400, silent_notice_ms=3_000),
)


def test_sections_are_loaded_with_the_parameters_they_are_built_of():
    settings = loads(DEMO_SETTINGS)
    search, report, sale = settings.classes
    assert (search.name, search.work, search.minimum_fraction) == ("price-search", 20_000, 0.5)
    assert (report.name, report.work, report.second_step_parts) == ("day-report", 30_000, 3)
    assert (sale.name, sale.work) == ("sale-record", 15_000)
    assert [space.prefix for space in settings.keys] == ["sale", "price", "report"]
    assert settings.keys[2].report_parts == 2
    fleet = settings.fleet
    assert (fleet.shards, fleet.cells, fleet.width, fleet.leaves, fleet.brokers) == (8, 4, 2, 4, 2)
    assert tuple(fleet.zones) == ZONE_NAMES
    assert settings.limits.open_cap == 100
    assert settings.discovery.silent_notice == 3_000_000


def test_without_a_minimum_a_search_has_no_partial_answers():
    text = DEMO_SETTINGS.replace(
        demo_settings.price_search_class(work_ms=20, minimum_percent=50), demo_settings.price_search_class()
    )
    search = loads(text).classes[0]
    assert (search.work, search.required_fraction, search.minimum_fraction) == (40_000, 0.75, 0)


@pytest.mark.parametrize("variant", VARIANTS)
def test_regions_of_processes_are_those_of_their_zones(variant):
    regions = loads(DEMO_SETTINGS + across_section(variant)).across.regions
    region_of_zone = {zone: region.name for region in regions for zone in region.zones}
    for number in range(12):
        assert region_of_number(number) == region_of_zone[ZONE_NAMES[number % len(ZONE_NAMES)]]


@pytest.mark.parametrize("fault", [*SEARCH_FAULTS, *LAG_FAULTS])
def test_commands_of_host_faults_have_their_kind_value_and_duration(fault):
    command = fault.to_command("price-search")
    assert parse_fault_kind(LeafFault, command.kind) is fault.kind
    assert (command.value, command.span_us, command.text) == (fault.value, fault.duration_us, "price-search")


def test_search_faults_include_those_of_all_hosts():
    assert SEARCH_FAULTS[: len(HOST_FAULTS)] == HOST_FAULTS


def test_faults_of_the_datas_age_change_nothing_where_freshness_is_off():
    scenario = SimulatedScenario(
        loads(DEMO_SETTINGS), 3, faults=LAG_FAULTS, fault_rate=4.0, inject_crashes=False, duration_seconds=3.0
    )
    assert scenario.run().verdict().breaches == []


# Replies


def received(*chunks):
    """Return what a client reads of a reply that arrives in these chunks, before the stream ends."""
    loop, net = virtual_loop(1)

    def served(stream):
        for chunk in chunks:
            stream.write(chunk)
        stream.close()
        yield from ()

    net.listen("b:1", served, "replies")

    def main():
        stream = yield from net.connect("b:1", 1_000_000, "client")
        return (yield from read_values(stream))

    return loop.run(loop.spawn(main(), "main"))


def value(key, body, flags=0):
    return f"VALUE {key} {flags} {len(body)}\r\n{body}\r\n".encode()


ANSWER = (
    '{"whole":false,"coverage":{"parts":[6,8],"weight":0.75},"age_ms":12,"behind":[3],"token":"x","rows":[]}'
)
REFUSAL = '{"whole":false,"refused":true,"retry_after_ms":250}'
REPLY = value("price:t1", ANSWER, 65536) + value("sale:t1:5", REFUSAL, 131072) + b"END\r\n"


@pytest.mark.parametrize("size", [1, 7, len(REPLY)])
def test_values_are_read_whatever_pieces_they_arrive_in(size):
    answer, refusal = received(*[REPLY[start : start + size] for start in range(0, len(REPLY), size)])
    assert (answer.key, answer.flags, refusal.key, refusal.flags) == ("price:t1", 65536, "sale:t1:5", 131072)
    assert answer.body == ReplyBody(
        complete=False, coverage=CoverageFields((6, 8)), age_ms=12, behind=(3,), token="x"
    )
    assert refusal.body == ReplyBody(complete=False, refused=True, retry_after_ms=250)
    assert answer.body.is_answer
    assert not refusal.body.is_answer


def test_an_error_line_ends_a_reply_without_values():
    assert received(b"SERVER_ERROR heathwell refused=1\r\n") == []


@pytest.mark.parametrize("cut", [3, len(REPLY) // 2, len(REPLY) - 1])
def test_a_stream_that_ends_within_a_reply_is_broken(cut):
    with pytest.raises(StreamBrokenError):
        received(REPLY[:cut])


@pytest.mark.parametrize(
    ("body", "duration_us", "outcome", "label"),
    [
        (None, 1_000_000, QueryOutcome.ON_TIME, "on time"),
        (None, 1_000_001, QueryOutcome.LATE, "late"),
        (ReplyBody(True, CoverageFields((8, 8))), 1_000_000, QueryOutcome.ON_TIME, "on time"),
        (ReplyBody(True, CoverageFields((8, 8)), stale=True), 1_000_001, QueryOutcome.LATE, "late, stale"),
        (ReplyBody(False, CoverageFields((6, 8))), 5, QueryOutcome.PARTIAL, "partial"),
        (ReplyBody(False, CoverageFields((6, 8)), stale=True), 5, QueryOutcome.PARTIAL, "partial, stale"),
        (ReplyBody(False, refused=True), 5, QueryOutcome.REFUSED, "refused"),
        (ReplyBody(False, failed=True), 5, QueryOutcome.FAILED, "failed"),
    ],
)
def test_queries_are_counted_by_how_they_ended(body, duration_us, outcome, label):
    query_class = loads(DEMO_SETTINGS).classes[0]
    query = CompletedQuery("price:t1", query_class, body, duration_us)
    assert query_class.latency_objective_us == 1_000_000
    assert query.outcome is outcome
    assert query.label == label


def test_a_search_has_one_result_and_a_batch_a_list():
    result = SearchResult(())
    assert SearchReplyBody(result).results(is_batch=False) == [result]
    assert SearchReplyBody([result, result]).results(is_batch=True) == [result, result]
    for body, is_batch in [
        (SearchReplyBody(result), True),
        (SearchReplyBody([result]), False),
        (SearchReplyBody(), True),
        (SearchReplyBody(), False),
    ]:
        with pytest.raises(MalformedSearchReplyError):
            body.results(is_batch=is_batch)


# Scenarios


class Failing(SimulatedScenario):
    """A scenario with a task that fails."""

    def _generate_load(self, draws):
        self.loop.spawn(self._fail(), "failing")
        yield from super()._generate_load(draws)

    def _fail(self):
        yield from ()
        raise ZeroDivisionError("planted")


def test_a_task_that_fails_ends_the_scenario_with_an_error():
    with pytest.raises(ScenarioTaskError, match="task failing failed") as raised:
        Failing(loads(DEMO_SETTINGS), 1, duration_seconds=0.5).run()
    assert raised.value.task == "failing"
    assert isinstance(raised.value.__cause__, ZeroDivisionError)


def test_an_answer_with_too_few_parts_is_an_error_of_its_query(monkeypatch):
    monkeypatch.setattr(multi_broker_scenario, "MINIMUM_ANSWERED_PARTS", 5)
    scenario = multi_broker_scenario.MultiBrokerScenario(2, 4, 1)
    scenario.run(scenario.load(50.0, scenario.loop.now() + 500_000))
    assert scenario.errors
    task, error = scenario.errors[0]
    assert task == "query"
    assert isinstance(error, multi_broker_scenario.AnswerBelowMinimumError)
    assert error.answered_parts < 5


def test_a_comparison_is_reported_under_its_former_names():
    scenario = RegionScenario("decider", "cut", seed=1, rate=4.0)
    scenario.run()
    record = FaultComparison(RegionFault.CUT, {VARIANTS[0]: variant_result(scenario)}).to_record()
    assert list(record) == ["trouble", "decider"]
    result = record["decider"]
    assert list(result) == [
        "rules",
        "broken",
        "coldest",
        "service",
        "steady after, s",
        "gave up after, of the aim in 1000",
        "links",
    ]
    phases = [name.split("/")[1] for name in result["service"] if name.startswith("price-search")]
    assert [phase_order(Phase(phase)) for phase in phases] == sorted(phase_order(Phase(p)) for p in phases)
    counts = next(iter(result["service"].values()))
    assert list(counts) == ["asked", "on_time", "late", "partial", "refused", "failed", "lost"]
    assert counts["asked"] == sum(counts.values()) - counts["asked"] > 0
