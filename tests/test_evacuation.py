"""Zone evacuation: brokers' reports, the controller's decisions and the restore, on a simulated fleet.

Loss is the fraction of attempts that fail.
"""

import random

import pytest

from heathwell.fleet.evacuation import (
    RESTORE_SHARES,
    AttemptCounts,
    AttemptResult,
    CapacityEstimator,
    Decision,
    Drill,
    EvacuationController,
    EvacuationParameters,
    LoadEstimator,
    UnknownOperatorActionError,
    UnknownZoneError,
    ZoneClassKey,
    ZoneDirective,
    ZoneObservations,
    ZoneState,
    ZoneTransition,
)
from heathwell.fleet.evacuation.state_machine import TRANSITIONS

SECOND_US = 1_000_000
ZONES = ["a", "b", "c"]
USUAL_LOSS = 0.02
PROBE_SHARE = 0.02


class SimulatedFleet:
    """Nine brokers in three zones, each of which sends attempts of two query classes to every zone.

    ``loss`` returns the loss by the broker's zone, the target zone and the query class; ``false_reporters``
    maps a broker to the zone of which it reports that all attempts fail there.
    """

    def __init__(self, seed=1, rate=6, parameters=None):
        self.random = random.Random(seed)
        self.rate = rate
        self.now = 10 * SECOND_US
        self.brokers = {f"b{n}": ZoneObservations(f"b{n}", ZONES[n % 3]) for n in range(9)}
        self.silent: set[str] = set()
        self.false_reporters: dict[str, str] = {}
        self.loss = usual_loss
        self.capacity = dict.fromkeys(ZONES, 100.0)
        self.load = dict.fromkeys(ZONES, 30.0)
        self.controller = EvacuationController(ZONES, parameters or EvacuationParameters(), 1, self.now)
        self.transitions: list[ZoneTransition] = []
        self.history: list[tuple[int, Decision]] = []

    def traffic_share(self, zone):
        """Return the share of the zone's traffic that it receives, at least that of the probes."""
        directive = self.controller.decision.zones.get(zone)
        return (
            1.0 if directive is None or directive.query_classes else max(directive.traffic_share, PROBE_SHARE)
        )

    def run(self, seconds):
        """Send attempts, report them and reconcile for ``seconds``, in steps of a quarter of a second."""
        for _ in range(int(seconds * 4)):
            self.now += SECOND_US // 4
            for name in self.brokers:
                for zone in ZONES:
                    for query_class in ("price", "report"):
                        self._send_attempts(name, zone, query_class)
            if self.now % SECOND_US == 0:
                self._send_reports()
            self.controller.update_load(self.load, self.capacity)
            self.transitions += self.controller.reconcile(self.now)
            if not self.history or self.history[-1][1] != self.controller.decision:
                self.history.append((self.now, self.controller.decision))
        return self

    def _send_attempts(self, name, zone, query_class):
        broker = self.brokers[name]
        expected_count = self.rate / 4 * self.traffic_share(zone)
        count = int(expected_count) + (self.random.random() < expected_count % 1)
        for _ in range(count):
            is_lost = self.random.random() < self.loss(broker.zone, zone, query_class)
            if name in self.false_reporters:
                is_lost = zone == self.false_reporters[name]
            result = AttemptResult.BAD if is_lost else AttemptResult.GOOD
            broker.record_attempt(self.now, zone, query_class, result)

    def _send_reports(self):
        for name, broker in self.brokers.items():
            if name not in self.silent:
                self.controller.record_report(self.now, broker.report(self.now))

    def state(self, zone):
        """Return the state in which the controller has a zone."""
        return self.controller.zones[zone].state


def usual_loss(_source, _target, _query_class):
    """Return the loss of a healthy fleet."""
    return USUAL_LOSS


def loss_at(*zones):
    """Return the loss of a fleet in which all attempts to these zones fail."""
    return lambda _source, target, _query_class: 1.0 if target in zones else USUAL_LOSS


def fleet_with_load(load):
    """Return a fleet with a load by zone, eight seconds after zone b has failed."""
    fleet = SimulatedFleet()
    fleet.load = load
    fleet.loss = loss_at("b")
    return fleet.run(8)


def fleet_with_class_load(price_load, report_load):
    """Return a fleet with a load of 75 per zone, eight seconds after zone b has failed.

    The load of zone b by query class is given; the priority weight of price is twice that of report.
    """
    fleet = SimulatedFleet()
    fleet.controller.priority_weights = {"price": 2.0, "report": 1.0}
    fleet.load = dict.fromkeys(ZONES, 75.0)
    update_load = fleet.controller.update_load
    class_load = {("b", "price"): price_load, ("b", "report"): report_load}
    fleet.controller.update_load = lambda load, capacity: update_load(load, capacity, class_load)
    fleet.loss = loss_at("b")
    return fleet.run(8)


def evacuated_fleet():
    """Return a fleet eight seconds after zone b has failed."""
    fleet = SimulatedFleet()
    fleet.loss = loss_at("b")
    return fleet.run(8)


def decided_shares(fleet):
    """Return the traffic shares of zone b, one for each decision that restricts it."""
    return [decision.zones["b"].traffic_share for _, decision in fleet.history if "b" in decision.zones]


def replace_recorded_attempts(broker, record):
    """Replace the broker's ``record_attempt`` by ``record``, which also gets the original method."""
    record_attempt = broker.record_attempt
    broker.record_attempt = lambda now_us, zone, query_class, result: record(
        record_attempt, now_us, zone, query_class, result
    )


def test_every_state_is_reachable_from_every_other():
    for state in TRANSITIONS:
        reached = {state}
        frontier = [state]
        while frontier:
            frontier = [
                after for before in frontier for after in TRANSITIONS[before].values() if after not in reached
            ]
            reached |= set(frontier)
        assert reached == {
            ZoneState.SERVING,
            ZoneState.SUSPECTED,
            ZoneState.EVACUATING,
            ZoneState.EVACUATED,
            ZoneState.RESTORING,
        }


def test_a_failed_zone_is_evacuated_once_and_restored_in_steps():
    fleet = SimulatedFleet()
    fleet.run(3)
    fleet.loss = loss_at("b")
    failed_at_us = fleet.now
    fleet.run(6)
    evacuated_at_us = next(at for at, decision in fleet.history if "b" in decision.zones)
    assert (
        evacuated_at_us - failed_at_us <= 5 * SECOND_US
        and fleet.state("b") == ZoneState.EVACUATED
        and fleet.traffic_share("b") == 0.02
    )
    fleet.loss = usual_loss
    fleet.run(40)
    assert fleet.state("b") == ZoneState.SERVING
    shares = decided_shares(fleet)
    assert shares == [0.0, 0.0, *RESTORE_SHARES][: len(shares)] or shares == sorted(shares)
    numbers = [(decision.term, decision.number) for _, decision in fleet.history]
    assert numbers == sorted(set(numbers))


def test_no_zone_of_a_healthy_or_busy_fleet_is_evacuated():
    for seed in range(30):
        fleet = SimulatedFleet(seed)
        loss = random.Random(seed).choice([0.0, 0.05, 0.15, 0.25])
        fleet.loss = lambda *_, loss=loss: loss
        fleet.run(30)
        assert fleet.controller.decision.number == 0, (seed, fleet.transitions)


def test_a_fifth_of_a_zones_hosts_failing_does_not_evacuate_it():
    fleet = SimulatedFleet()
    fleet.loss = lambda _source, target, _query_class: 0.2 if target == "b" else USUAL_LOSS
    assert fleet.run(30).controller.decision.number == 0


def test_a_path_unhealthy_from_one_zone_alone_does_not_evacuate_its_target():
    fleet = SimulatedFleet()
    fleet.loss = lambda source, target, _query_class: 1.0 if (source, target) == ("a", "b") else USUAL_LOSS
    fleet.run(20)
    assert (
        fleet.controller.decision.number == 0
        and "the path, not the zone" in fleet.controller.assess("b").reason
    )


def test_reports_of_a_broker_that_is_cut_off_do_not_count():
    fleet = SimulatedFleet()
    cut_off = fleet.brokers["b0"]

    def record_as_cut_off(record_attempt, now_us, zone, query_class, _result):
        result = AttemptResult.BAD if zone != cut_off.zone else AttemptResult.GOOD
        record_attempt(now_us, zone, query_class, result)

    replace_recorded_attempts(cut_off, record_as_cut_off)
    fleet.run(20)
    assert fleet.controller.decision.number == 0
    assert cut_off.report(fleet.now).cut_off and not fleet.brokers["b1"].report(fleet.now).cut_off


def test_false_reports_of_three_brokers_of_nine_do_not_cause_an_evacuation():
    for names in (("b0", "b3", "b6"), ("b0", "b2", "b3"), ("b0", "b1", "b2")):
        fleet = SimulatedFleet()
        fleet.false_reporters = dict.fromkeys(names, "b")
        assert fleet.run(20).controller.decision.number == 0, (names, fleet.transitions)


def test_false_reports_gain_no_weight_by_a_higher_number_of_attempts():
    """A broker reports the number of its attempts itself, so its weight is limited to the median."""

    def record_twenty_failures(record_attempt, now_us, _zone, query_class, _result):
        for _ in range(20):
            record_attempt(now_us, "b", query_class, AttemptResult.BAD)

    for names in (("b0", "b3", "b6"), ("b0", "b2", "b3"), ("b0", "b2", "b5")):
        fleet = SimulatedFleet()
        for name in names:
            replace_recorded_attempts(fleet.brokers[name], record_twenty_failures)
        assert fleet.run(20).controller.decision.number == 0, (names, fleet.transitions)


def test_reports_of_a_zones_own_brokers_do_not_evacuate_it():
    fleet = SimulatedFleet()
    fleet.loss = lambda source, _target, _query_class: 1.0 if source == "b" else USUAL_LOSS
    assert fleet.run(20).controller.decision.number == 0


def test_a_partitioned_zone_that_serves_itself_is_evacuated_by_the_others():
    fleet = SimulatedFleet()
    fleet.loss = lambda source, target, _query_class: (
        1.0 if (source == "b") != (target == "b") else USUAL_LOSS
    )
    fleet.run(8)
    assert fleet.state("b") == ZoneState.EVACUATED and all(
        fleet.state(zone) == ZoneState.SERVING for zone in "ac"
    )


def test_only_the_unhealthy_query_class_of_a_zone_is_evacuated():
    fleet = SimulatedFleet()
    fleet.loss = lambda _source, target, query_class: (
        1.0 if (target, query_class) == ("b", "report") else USUAL_LOSS
    )
    fleet.run(8)
    directive = fleet.controller.decision.zones["b"]
    assert directive.query_classes == ("report",) and "price" not in directive.query_classes


def test_no_more_traffic_is_evacuated_than_the_other_zones_have_capacity_for():
    # The usable capacity of the two others is 180, as is the load.
    full = fleet_with_load(dict.fromkeys(ZONES, 60.0))
    assert full.state("b") == ZoneState.EVACUATED and full.controller.decision.zones["b"].traffic_share == 0.0
    over = fleet_with_load(dict.fromkeys(ZONES, 75.0))
    assert (
        0.3 < over.controller.decision.zones["b"].traffic_share < 0.9
        and "stays" in over.controller.decision.zones["b"].reason
    )
    none = fleet_with_load({"a": 90.0, "b": 90.0, "c": 90.0})
    assert none.state("b") == ZoneState.SUSPECTED and none.controller.decision.number == 0
    assert "not evacuated" in none.controller.zones["b"].reason


def test_a_class_with_few_attempts_is_evacuated_with_its_zone():
    """Neither a class with too few attempts nor successful probes must keep a part of the zone in service."""
    fleet = SimulatedFleet()
    fleet.loss = loss_at("b")
    for number in range(3):
        fleet.brokers[f"b{number}"].record_attempt(fleet.now + 4 * SECOND_US, "b", "rare", AttemptResult.BAD)
    for broker in fleet.brokers.values():
        broker.record_attempt(fleet.now + 4 * SECOND_US, "b", "probe", AttemptResult.GOOD)
    fleet.run(6)
    assert (
        fleet.state("b") in (ZoneState.EVACUATING, ZoneState.EVACUATED)
        and fleet.controller.decision.zones["b"].query_classes == ()
    )


def test_a_query_class_evacuated_alone_is_restored_alone_and_in_steps():
    """The zone's other class, which is healthy, keeps all of its traffic during the restore."""
    fleet = SimulatedFleet()
    fleet.loss = lambda _source, target, query_class: (
        1.0 if (target, query_class) == ("b", "report") else USUAL_LOSS
    )
    fleet.run(8)
    fleet.loss = usual_loss
    fleet.run(60)
    directives = [decision.zones["b"] for _, decision in fleet.history if "b" in decision.zones]
    assert {directive.query_classes for directive in directives} == {("report",)} and fleet.state(
        "b"
    ) == ZoneState.SERVING
    shares = [directive.traffic_share for directive in directives]
    assert shares == sorted(shares) and set(RESTORE_SHARES) <= set(shares)


def test_without_capacity_for_all_the_classes_of_highest_priority_weight_are_evacuated_completely():
    # The load is 225 and the usable capacity of the others 180: 30 of the zone's 75 fit.
    fleet = fleet_with_class_load(price_load=25.0, report_load=50.0)
    directive = fleet.controller.decision.zones["b"]
    assert directive.query_classes == ("price",) and "price alone" in directive.reason
    # Neither class fits completely: a share of both is evacuated.
    shared = fleet_with_class_load(price_load=37.0, report_load=38.0)
    directive = shared.controller.decision.zones["b"]
    assert not directive.query_classes and 0.3 < directive.traffic_share < 0.9


# Capacity.


def attempts_at_two_servers(rate, capacity, idle_ms=100.0, seconds=2):
    """Return the attempts at two servers with one queue (M/M/2); rate and capacity are in attempts/s."""
    utilization = min(rate / capacity, 0.98)
    count = int(rate * seconds)
    return {"price": AttemptCounts(good=count, took_ms=int(count * idle_ms / (1 - utilization**2)))}


def test_capacity_is_estimated_from_latency_and_kept_while_a_zone_fails():
    estimator = CapacityEstimator(2 * SECOND_US)
    now = 0
    for rate in (10, 20, 40, 60, 80):  # of 100
        now += 2 * SECOND_US
        estimator.observe(now, "a", attempts_at_two_servers(rate, 100))
        assert estimator.estimate(now, "a") >= rate
        if rate >= 40:
            assert 75 <= estimator.estimate(now, "a") <= 160, rate
    assert 90 <= estimator.estimate(now, "a") <= 110  # near saturation the estimate is accurate
    estimator.observe(now + 2 * SECOND_US, "a", {"price": AttemptCounts(bad=100)})
    # The rate that it served at its usual latency.
    assert 50 <= estimator.estimate(now + 2 * SECOND_US, "a") <= 80
    assert estimator.estimate(now, "b") == 0.0


def test_an_idle_zones_capacity_is_bounded():
    estimator = CapacityEstimator(2 * SECOND_US)
    estimator.observe(2 * SECOND_US, "a", attempts_at_two_servers(20, 10_000))
    assert estimator.estimate(2 * SECOND_US, "a") <= 4 * 20
    # Too few attempts for an estimate.
    estimator.observe(4 * SECOND_US, "a", {"price": AttemptCounts(good=3, took_ms=300)})
    assert estimator.estimate(4 * SECOND_US, "a") > 0


def test_two_failed_zones_of_three_are_evacuated_and_no_broker_of_theirs_counts_as_cut_off():
    """Brokers of the third zone reach no other zone and report themselves as cut off; those of the two failed
    zones reach the third one. Endpoints are ejected, so few attempts are sent to the failed zones; a
    suspected zone must not count as healthy because of that.
    """
    fleet = SimulatedFleet()
    fleet.loss = lambda source, target, _query_class: (
        1.0 if target in ("b", "c") and source != target else USUAL_LOSS
    )
    traffic_share = fleet.traffic_share
    ejected_at_us = fleet.now + 2 * SECOND_US
    fleet.traffic_share = lambda zone: (
        traffic_share(zone) if zone == "a" or fleet.now < ejected_at_us else 0.05
    )
    fleet.run(2)
    assert fleet.brokers["b0"].report(fleet.now).cut_off and not fleet.brokers["b1"].report(fleet.now).cut_off
    fleet.run(6)
    assert (
        fleet.state("b") in (ZoneState.EVACUATING, ZoneState.EVACUATED)
        and fleet.state("c") in (ZoneState.EVACUATING, ZoneState.EVACUATED)
        and fleet.state("a") == ZoneState.SERVING
    )


def test_load_is_the_rate_before_the_fault_not_the_retries_during_it():
    """Parts of failed zones are retried repeatedly; counted as load, that would exceed the capacity."""
    estimator = LoadEstimator(2 * SECOND_US)
    usual = {(zone, "price"): AttemptCounts(good=100) for zone in ZONES}
    assert estimator.observe(usual) == dict.fromkeys(usual, 50.0)
    during_fault = {
        ("a", "price"): AttemptCounts(good=180),
        ("b", "price"): AttemptCounts(bad=400),
        ("c", "price"): AttemptCounts(bad=400),
    }
    assert sum(estimator.observe(during_fault).values()) == 150.0
    # The load grew.
    assert (
        sum(
            estimator.observe(
                {("a", "price"): AttemptCounts(good=600), ("b", "price"): AttemptCounts(bad=400)}
            ).values()
        )
        == 300.0
    )
    assert estimator.observe(usual) == dict.fromkeys(usual, 50.0)


def test_an_unhealthy_zone_receives_no_traffic_of_an_evacuated_one():
    fleet = SimulatedFleet()
    fleet.capacity = {"a": 80.0, "b": 100.0, "c": 100.0}  # zone a's usable capacity is 72, the load is 90
    fleet.loss = loss_at("b", "c")
    fleet.run(12)
    directives = fleet.controller.decision.zones
    assert (
        fleet.state("a") == ZoneState.SERVING
        and all(0 < directives[zone].traffic_share < 1 for zone in directives)
        and directives
    )


@pytest.mark.parametrize("count", range(20, 60))
def test_a_mean_duration_that_rounds_below_the_idle_one_is_no_error(count):
    """The mean of durations, which are rounded down to milliseconds, may be below the idle duration."""
    for took_ms in range(count, 20 * count):
        estimator = CapacityEstimator(2 * SECOND_US)
        estimator.observe(2 * SECOND_US, "a", {"price": AttemptCounts(good=count, took_ms=took_ms)})
        assert estimator.estimate(2 * SECOND_US, "a") == pytest.approx(4 * count / 2)


def test_a_zone_in_an_unknown_state_of_the_standing_decision_counts_as_evacuated():
    fleet = SimulatedFleet()
    standing = Decision(1, 1, {"b": ZoneDirective("a later version's", 0.0)})
    fleet.controller = EvacuationController(ZONES, EvacuationParameters(), 2, fleet.now, standing)
    assert fleet.state("b") == ZoneState.EVACUATED and fleet.traffic_share("b") == 0.02
    fleet.run(60)
    assert fleet.state("b") == ZoneState.SERVING


# Drills.


class SimulatedDrill:
    """A drill of zone b in the simulated fleet, and the orders that it has returned."""

    def __init__(self, seconds=10, max_additional_loss=0.05):
        self.fleet = SimulatedFleet().run(4)
        self.drill = Drill("b", self.fleet.now, seconds * SECOND_US, max_additional_loss)
        self.actions = []

    def run(self, until="over", ticks=120):
        """Run the fleet until the drill reaches a stage, for at most ``ticks`` ticks of two seconds."""
        fleet = self.fleet
        for _ in range(ticks):
            if self.drill.stage == until:
                return self
            action = self.drill.tick(fleet.now, fleet.state("b"), self._attempt_counts())
            if action is not None:
                self.actions.append(action)
                fleet.controller.execute_order(fleet.now, "b", action, "ann", "a drill")
            fleet.run(2)
        return self

    def _attempt_counts(self):
        counts: dict[ZoneClassKey, AttemptCounts] = {}
        for broker in self.fleet.brokers.values():
            for key, broker_counts in broker.report(self.fleet.now).counts.items():
                counts[key] = counts.get(key, AttemptCounts()) + broker_counts
        return counts


def test_a_drill_evacuates_and_restores_and_reports_the_cost():
    simulated = SimulatedDrill().run()
    assert (
        simulated.actions == ["leave", "return"]
        and simulated.fleet.state("b") == ZoneState.SERVING
        and not simulated.drill.cancel_reason
    )
    rows = {row.stage: row for row in simulated.drill.report()}
    assert list(rows) == ["before", "leaving", "away", "returning", "after"]
    assert 10 <= rows["away"].duration_seconds <= 14
    assert rows["away"].zone_attempts_per_second < rows["before"].zone_attempts_per_second / 5
    assert all(
        row.elsewhere_loss < 0.1 and set(row.elsewhere_loss_by_class) == {"price", "report"}
        for row in rows.values()
        if row.duration_seconds > 1
    )


def test_a_drill_that_costs_too_much_elsewhere_is_cancelled_and_restores():
    simulated = SimulatedDrill(seconds=60)
    fleet = simulated.fleet
    fleet.loss = lambda _source, target, _query_class: (
        0.3 if target != "b" and fleet.traffic_share("b") < 0.5 else USUAL_LOSS
    )
    simulated.run()
    assert simulated.actions == ["leave", "return"] and "more than usual" in simulated.drill.cancel_reason
    evacuated_seconds = sum(
        row.duration_seconds for row in simulated.drill.report() if row.stage in ("leaving", "away")
    )
    assert evacuated_seconds < 20 and fleet.state("b") == ZoneState.SERVING


def test_with_two_unhealthy_zones_the_healthy_one_is_never_evacuated():
    fleet = SimulatedFleet()
    fleet.loss = loss_at("b", "c")
    fleet.run(12)
    assert [fleet.state(zone) for zone in ZONES].count(ZoneState.EVACUATED) <= 2 and fleet.state(
        "a"
    ) == ZoneState.SERVING


def test_a_flapping_zone_is_evacuated_for_longer_each_time():
    fleet = SimulatedFleet()
    durations_us = []
    for _ in range(3):
        fleet.loss = loss_at("b")
        fleet.run(8)
        recovered_at_us = fleet.now
        fleet.loss = usual_loss
        while fleet.state("b") != ZoneState.SERVING and fleet.now - recovered_at_us < 200 * SECOND_US:
            fleet.run(1)
        durations_us.append(fleet.now - recovered_at_us)
    assert durations_us[0] < durations_us[1] < durations_us[2]


def test_a_failing_restore_step_is_reverted():
    fleet = SimulatedFleet()
    fleet.loss = loss_at("b")
    fleet.run(8)
    # The zone has capacity for half of its traffic.
    fleet.loss = lambda _source, target, _query_class: (
        USUAL_LOSS if target != "b" or fleet.traffic_share("b") < 0.5 else 0.6
    )
    fleet.run(60)
    shares = decided_shares(fleet)
    assert 0.6 in shares and shares[shares.index(0.6) + 1] == 0.3 and fleet.state("b") == ZoneState.RESTORING


def test_a_new_controller_resumes_the_standing_decision_under_a_later_term():
    fleet = SimulatedFleet()
    fleet.loss = loss_at("b")
    fleet.run(8)
    standing = fleet.controller.decision
    fleet.controller = EvacuationController(ZONES, EvacuationParameters(), 2, fleet.now, standing)
    assert fleet.controller.decision.zones == standing.zones and fleet.controller.decision.is_newer_than(
        standing
    )
    fleet.loss = usual_loss
    fleet.run(60)
    assert fleet.state("b") == ZoneState.SERVING


def test_without_reports_the_last_decision_stands():
    fleet = SimulatedFleet()
    fleet.loss = loss_at("b")
    fleet.run(8)
    before = fleet.controller.decision
    fleet.silent = set(fleet.brokers)
    fleet.run(60)
    assert fleet.controller.decision == before


def test_an_operators_order_precedes_the_controllers_decisions_and_is_pinned():
    fleet = SimulatedFleet().run(2)
    fleet.controller.execute_order(fleet.now, "a", "leave", "ann", "a drill")
    fleet.run(30)
    assert (
        fleet.state("a") in (ZoneState.EVACUATING, ZoneState.EVACUATED)
        and "ann" in fleet.controller.zones["a"].pinned_by
    )
    fleet.controller.execute_order(fleet.now, "a", "return", "ann", "over")
    fleet.run(30)
    assert fleet.state("a") == ZoneState.SERVING
    before = fleet.controller.decision
    with pytest.raises(UnknownZoneError, match="no zone 'x'; there are a, b, c"):
        fleet.controller.execute_order(fleet.now, "x", "leave", "ann", "")
    with pytest.raises(UnknownOperatorActionError, match="'dance': leave, return, pin or unpin"):
        fleet.controller.execute_order(fleet.now, "a", "dance", "ann", "")
    assert fleet.controller.decision == before


def test_an_older_decision_is_never_newer():
    decision = Decision(1, 9, {"a": ZoneDirective(ZoneState.EVACUATED, 0.0)})
    assert (
        Decision(2, 0).is_newer_than(decision)
        and not decision.is_newer_than(Decision(2, 0))
        and not decision.is_newer_than(decision)
    )


@pytest.mark.parametrize("count", [40_000])
def test_the_observations_of_a_broker_are_bounded(count):
    observations = ZoneObservations("b0", "a")
    for number in range(count):
        observations.record_attempt(number, f"z{number}", f"c{number}", AttemptResult.BAD)
    assert len(observations.report(count).counts) <= 32 * 64
