"""Zone evacuation with processes: brokers, hosts and coordinators of three zones, and faults between them.

The fleet's decisions are read from its event logs.
"""

import json
import re
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path

import pytest

from heathwell.eventloop import socket_loop
from heathwell.fleet.control.fleet_agent import FleetAgent
from heathwell.fleet.control.parameters import budgets_from_settings, quota_timings_from_settings
from heathwell.fleet.evacuation import AttemptCounts, BrokerReport, ZoneClassKey
from heathwell.fleet.membership import LocalMember
from heathwell.settings import load
from heathwell.testing.audit import judge_budgets
from heathwell.testing.simulation.fault_scenario import FaultScenario
from heathwell.testing.simulation.fault_script import load_script
from heathwell.testing.simulation.process_fleet import ProcessFleet

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE_SETTINGS = (ROOT / "examples/market-fleet.sx").read_text()
SETTINGS_EDITS = (
    ("(most 8)", "(most 8) (evacuate yes)"),
    ("(leaves 6)", "(leaves 9)"),
    ("(cells 6)", "(cells 9)"),
    ("(level info)", "(level error)"),
)
ZONE = "hki-2"
ZONE_HOSTS = "leaf1 leaf4 leaf7"  # the brokers of this zone are b1 and b4
POLL_INTERVAL_SECONDS = 0.05


def decisions(events):
    """Return the decisions of coordinators, and those that brokers applied, each in order."""
    by_coordinators = [event for event in events if event.ev == "zones" and event.who.startswith("k")]
    by_brokers = [event for event in events if event.ev == "zones" and event.who.startswith("b")]
    return by_coordinators, by_brokers


def coordinator_decisions(events):
    """Return the decisions of coordinators, in order."""
    return decisions(events)[0]


def state_of(event, default, zone=ZONE):
    """Return the state of a zone in a decision, or the default if the decision does not name the zone."""
    return event["states"].get(zone, [default])[0]


def zone_states(events):
    """Return the state of the zone in each decision after the first."""
    return [state_of(event, "served") for event in coordinator_decisions(events) if event["number"]]


def evacuations(events, zone=ZONE):
    """Return the decisions in which the zone is being evacuated or is evacuated."""
    return [
        event for event in coordinator_decisions(events) if state_of(event, "", zone) in ("leaving", "left")
    ]


def check_evacuated_once_and_restored(events):
    """Check that the zone is evacuated, then restored in increasing steps."""
    states = zone_states(events)
    assert (
        states.index("leaving") < states.index("left") < states.index("returning") and states[-1] == "served"
    )
    shares = [
        event["states"][ZONE][1]
        for event in coordinator_decisions(events)
        if state_of(event, "") == "returning"
    ]
    assert shares == sorted(shares)


def check_applied_by_all_brokers_at_once(events):
    """Check that all six brokers apply the decision to evacuate within two seconds of each other."""
    by_coordinators, by_brokers = decisions(events)
    decision = next(event for event in by_coordinators if state_of(event, "") == "leaving")
    applied_at_us = [
        event.t
        for event in by_brokers
        if (event["term"], event["number"]) == (decision["term"], decision["number"])
    ]
    assert len(applied_at_us) == 6 and max(applied_at_us) - min(applied_at_us) <= 2_000_000


def check_decision_numbers_increase(events):
    """Check that no broker applies a decision twice, or an older one after a newer one."""
    applied = decisions(events)[1]
    for broker in {event.who for event in applied}:
        numbers = [(event["term"], event["number"]) for event in applied if event.who == broker]
        assert numbers == sorted(set(numbers))


def check_not_evacuated(events):
    """Check that the zone is never evacuated."""
    assert not evacuations(events)


def check_last_decision_stands(events):
    """Check that brokers apply no further decision without a coordinator."""
    stopped_at_us = max(event.t for event in events if event.who.startswith("k"))
    assert evacuations(events) and not [
        event for event in decisions(events)[1] if event.t > stopped_at_us + 1_000_000
    ]


def check_healthy_zone_is_never_evacuated(events):
    """Check that the only healthy zone of three keeps its traffic."""
    assert evacuations(events) and not evacuations(events, "hki-1")


def check_flapping_is_damped(events):
    """Check that four failures cause at most two evacuations, as each lasts longer than the previous one."""
    states = zone_states(events)
    assert 1 <= states.count("leaving") <= 2


def check_only_one_class_is_evacuated(events):
    """Check that each evacuation is of the failing query class alone."""
    assert all(
        "price-search" in event["why"]
        for event in evacuations(events)
        if event["states"]["hki-2"][0] == "leaving"
    )


def check_restored(events):
    """Check that the zone is evacuated and the last decision restricts no zone."""
    last = coordinator_decisions(events)[-1]
    assert evacuations(events) and not last["states"]


def check_next_coordinator_resumes(events):
    """Check that another coordinator decides under a later term, from the standing decision."""
    terms = [event["term"] for event in coordinator_decisions(events)]
    assert max(terms) > 1 and terms == sorted(terms) and evacuations(events)


# By name of a case: faults, duration in seconds, and checks of the event logs. A check asserts, or returns a
# collection that must not be empty.
CASES = {
    "a zone's hosts killed and restarted": (
        f"(at 8s crash (to {ZONE_HOSTS}) (span 8s))",
        48,
        (check_evacuated_once_and_restored, check_applied_by_all_brokers_at_once),
    ),
    "30 % of the answers of one host lost": (
        "(at 8s lose (to leaf1) (span 12s) (value 0.3))",
        24,
        (check_not_evacuated,),
    ),
    "a broker that is itself cut off": (
        "(at 8s cut (from b0) (to leaf*) (span 10s))",
        24,
        (check_not_evacuated,),
    ),
    "one direction of links cut": (
        f"(at 8s cut-back (from b0 b3) (to {ZONE_HOSTS}) (span 8s))",
        24,
        (check_not_evacuated,),
    ),
    "a zone partitioned from the others": (
        f"(at 8s cut (from b0 b2 b3 b5) (to {ZONE_HOSTS}) (span 8s))",
        30,
        (evacuations,),
    ),
    "the deciding coordinator killed during an evacuation": (
        f"(at 8s crash (to {ZONE_HOSTS}) (span 14s)) (at 12500ms kill (to k0) (span 1s))",
        40,
        (evacuations,),
    ),
    "the deciding coordinator down for 30 s": (
        f"(at 8s crash (to {ZONE_HOSTS}) (span 20s)) (at 13s kill (to k0) (span 30s))",
        44,
        (check_next_coordinator_resumes,),
    ),
    "all coordinators down during an evacuation": (
        f"(at 8s crash (to {ZONE_HOSTS}) (span 8s)) (at 14s kill (to k*) (span 60s))",
        26,
        (check_last_decision_stands,),
    ),
    "half the brokers restarted during an evacuation": (
        f"(at 8s crash (to {ZONE_HOSTS}) (span 12s)) (at 13s kill (to b0 b2 b4) (span 500ms))",
        44,
        (evacuations,),
    ),
}
CASES |= {
    "all hosts and brokers of a zone killed": (
        f"(at 8s crash (to {ZONE_HOSTS}) (span 8s)) (at 8s kill (to b1 b4) (span 8s))",
        48,
        (check_evacuated_once_and_restored,),
    ),
    "hosts ten times slower for one query class": (
        f"(at 8s slow (to {ZONE_HOSTS}) (span 12s) (value 10) (class price-search))",
        30,
        (check_only_one_class_is_evacuated,),
    ),
    "one query class fails in a zone": (
        f"(at 8s failclass (to {ZONE_HOSTS}) (span 12s) (class price-search))",
        30,
        (check_only_one_class_is_evacuated,),
    ),
    "5 % of answers lost in a zone": (
        f"(at 8s lose (to {ZONE_HOSTS}) (span 12s) (value 0.05))",
        24,
        (check_not_evacuated,),
    ),
    "two zones fail at once": (
        f"(at 8s crash (to {ZONE_HOSTS} leaf2 leaf5 leaf8) (span 8s))",
        30,
        (check_healthy_zone_is_never_evacuated,),
    ),
    "a zone that fails every 8 s": (
        " ".join(f"(at {at}s crash (to {ZONE_HOSTS}) (span 4s))" for at in (8, 16, 24, 32)),
        56,
        (check_flapping_is_damped,),
    ),
    "the deciding coordinator killed during a restore": (
        f"(at 8s crash (to {ZONE_HOSTS}) (span 6s)) (at 27s kill (to k0) (span 30s))",
        66,
        (check_next_coordinator_resumes, check_restored),
    ),
    "all clients moved to the other zones' brokers": (
        "(at 8s kill (to b1 b4) (span 10s))",
        24,
        (check_not_evacuated,),
    ),
}
QUICK = ("a zone's hosts killed and restarted",)


def write_service_settings(path):
    """Write the example's settings with zone evacuation enabled; return the path."""
    text = EXAMPLE_SETTINGS
    for old, new in SETTINGS_EDITS:
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    "name", [pytest.param(name, marks=[] if name in QUICK else pytest.mark.fleet) for name in CASES]
)
def test_a_zone_is_evacuated_and_restored_as_the_fault_requires(name, tmp_path):
    steps, seconds, checks = CASES[name]
    write_service_settings(tmp_path / "market.sx")
    (tmp_path / "day.sx").write_text(
        f'(market "market.sx") (seconds {seconds}) (seed 3) (wires yes)\n'
        f"(load (rate 36) (clients 64) (mix price (share 3)) (mix report) (mix sale (share 2)))\n{steps}\n"
    )
    scenario = FaultScenario(
        *load_script(str(tmp_path / "day.sx")), folder=tmp_path / "out", report=lambda _text: None
    )
    verdict = scenario.run()
    assert not scenario.injection_errors and verdict.kept, (scenario.injection_errors, verdict.breaches[:5])
    assert judge_budgets(scenario.logged).kept
    check_decision_numbers_increase(scenario.logged)
    for check in checks:
        found = check(scenario.logged)
        assert found is None or found


class SequentialClient(threading.Thread):
    """A client of one broker that sends one query at a time until it is stopped."""

    def __init__(self, address):
        super().__init__(daemon=True)
        self.address = address
        self.stop = threading.Event()
        self.reply_count = 0

    def run(self):
        """Send queries until ``stop`` is set or the broker closes the connection."""
        host, port = self.address.rsplit(":", 1)
        with socket.create_connection((host, int(port)), 30) as connection:
            while not self.stop.wait(POLL_INTERVAL_SECONDS):
                connection.sendall(b"get price:t%d\r\n" % (self.reply_count % 40))
                reply = b""
                while not reply.endswith(b"END\r\n"):
                    received = connection.recv(65_536)
                    if not received:
                        return
                    reply += received
                self.reply_count += 1


def unused_addresses(count):
    """Return addresses on which no process listens."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{listener.getsockname()[1]}" for listener in listeners]
    for listener in listeners:
        listener.close()
    return addresses


def write_settings_with_coordinators(path):
    """Write the settings with three coordinators and budgets for more brokers than run; return the path."""
    write_service_settings(path)
    coordinators = " ".join(f'"{address}"' for address in unused_addresses(3))
    text = re.sub(r"\(keepers [^)]*\)", f"(keepers {coordinators})", path.read_text())
    path.write_text(
        text.replace("(most 8)", "(most 12)")
        .replace("(whole 12)", "(whole 18)")
        .replace("(whole 14)", "(whole 22)")
    )
    return path


@dataclass(frozen=True)
class RunningFleet:
    """A fleet of processes under load, and the operator's commands for it."""

    processes: ProcessFleet
    config: str

    @property
    def coordinators(self):
        """The addresses of the coordinators, separated by commas."""
        return ",".join(member.address for member in self.processes.coordinators)

    def zone_command(self, *arguments):
        """Return a command line of ``heathwell zone`` for this fleet."""
        return [
            *(sys.executable, "-m", "heathwell", "zone"),
            *arguments,
            *("--config", self.config),
            *("--keepers", self.coordinators),
        ]

    def zone_status(self, *options):
        """Run ``heathwell zone status`` and return the completed process."""
        return subprocess.run(
            self.zone_command("status", *options), cwd=ROOT, capture_output=True, text=True, check=False
        )

    def wait_until_decided(self):
        """Wait until a coordinator makes decisions, for which it needs reports of brokers."""
        for _ in range(60):
            if self.zone_status().returncode == 0:
                return
        raise AssertionError("no coordinator decides")


@pytest.fixture
def running(tmp_path):
    """Run the processes of nine hosts, six brokers and three coordinators, with a client at each broker."""
    config = str(write_settings_with_coordinators(tmp_path / "market.sx"))
    processes = ProcessFleet(config, load(config))
    clients = []
    try:
        processes.start()
        clients = [SequentialClient(member.address) for member in processes.brokers]
        for client in clients:
            client.start()
        yield RunningFleet(processes, config)
    finally:
        for client in clients:
            client.stop.set()
        processes.stop()


def idle_connection(address):
    """Return a connection that is idle after one answered request."""
    host, port = address.rsplit(":", 1)
    connection = socket.create_connection((host, int(port)), 60)
    connection.sendall(b"version\r\n")
    assert connection.recv(64).startswith(b"VERSION")
    return connection


def health(member):
    """Return the body of a broker's health page."""
    try:
        return urllib.request.urlopen(f"http://{member.admin_address}/healthz", timeout=30).read()
    except urllib.error.HTTPError as error:
        return error.read()


@pytest.mark.fleet
def test_a_drill_evacuates_a_zone_closes_its_idle_connections_and_reports_the_cost(running):
    processes = running.processes
    running.wait_until_decided()
    zone_brokers = [member for member in processes.brokers if member.zone == 1]
    other_brokers = [member for member in processes.brokers if member.zone != 1]
    zone_connections = [idle_connection(member.address) for member in zone_brokers for _ in range(4)]
    other_connections = [idle_connection(member.address) for member in other_brokers]
    drill = subprocess.Popen(
        running.zone_command("drill", ZONE, "--seconds", "14", "--json"),
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    # Idle connections are closed within ten seconds, the drain duration in the settings.
    assert [connection.recv(64) for connection in zone_connections] == [b""] * len(zone_connections)
    assert {health(member) for member in zone_brokers} == {b"the fleet leaves this zone\n"}
    assert {health(member) for member in processes.brokers if member.zone != 1} == {b"ok\n"}
    idle_connection(zone_brokers[0].address).close()  # new clients are served
    output, errors = drill.communicate(timeout=300)
    assert drill.returncode == 0, (output, errors)
    rows = {row["stage"]: row for row in json.loads(output)["stages"]}
    assert list(rows) == ["before", "leaving", "away", "returning", "after"]
    assert rows["away"]["there_a_second"] < rows["before"]["there_a_second"] / 2
    for connection in other_connections:
        connection.sendall(b"version\r\n")
        assert connection.recv(64).startswith(b"VERSION")
    assert {health(member) for member in zone_brokers} == {b"ok\n"}


@pytest.mark.fleet
def test_a_terminated_drill_restores_its_zone_before_it_exits(running):
    running.wait_until_decided()
    drill = subprocess.Popen(
        running.zone_command("drill", ZONE, "--seconds", "600"), cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    for line in drill.stdout:
        if "away" in line:
            break
    drill.send_signal(signal.SIGTERM)
    assert drill.wait(60) == 143
    for _ in range(120):
        status = running.zone_status()
        if "hki-2: served" in status.stdout:
            return
    raise AssertionError(status.stdout)


class FalseZoneObserver:
    """A zone observer that always reports that all attempts at a zone failed."""

    def __init__(self, name, zone, reported_zone):
        self.name = name
        self.zone = zone
        self.reported_zone = reported_zone

    def report(self, _now):
        """Return a report of 500 failed attempts."""
        key = ZoneClassKey(self.reported_zone, "price-search")
        return BrokerReport(self.name, self.zone, {key: AttemptCounts(bad=500)})

    def on_decision(self, _decision):
        """Ignore decisions."""


@pytest.fixture
def false_reporters(running):
    """Run three more members with false reports, in an event loop of the test process."""
    loop, net, _ = socket_loop()
    spec = running.processes.service_settings.fleet
    agents = []
    for number, zone in enumerate(("hki-1", "espoo-1", "hki-1")):
        name = f"false-reporter{number}"
        agents.append(
            FleetAgent(
                loop,
                net,
                LocalMember(
                    name,
                    loop.now() + 1,
                    loop.now(),
                    zone=zone,
                    timeouts=quota_timings_from_settings(spec).membership,
                ),
                budgets_from_settings(spec),
                tuple(running.coordinators.split(",")),
                renewal_interval_us=spec.renew,
                timings=quota_timings_from_settings(spec),
                seed=number,
                log=lambda *_args, **_fields: None,
                fleet=spec.fleet_name,
            )
        )
        agents[-1].attach_zone_observer(FalseZoneObserver(name, zone, ZONE))
    loop_thread = threading.Thread(target=loop.run, daemon=True)
    loop_thread.start()
    yield agents
    loop.call_threadsafe(loop.stop)
    loop_thread.join(30)
    loop.shutdown()


@pytest.mark.fleet
@pytest.mark.usefixtures("false_reporters")
def test_false_reports_of_three_members_of_nine_cause_no_evacuation(running):
    """The coordinators receive the false reports, as their status shows."""
    running.wait_until_decided()
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        status = json.loads(running.zone_status("--json").stdout)
        deciding = [view for view in status.values() if isinstance(view, dict) and view["decides"]]
        if deciding:
            reported = [
                row
                for row in deciding[0]["seen"]
                if row["zone"] == "hki-2" and row["klass"] == "price-search"
            ]
            assert (
                deciding[0]["states"]["hki-2"] in ("served", "doubted")
                and deciding[0]["decision"]["number"] == 0
            )
    # The failures reported by all three, in addition to the results of actual attempts.
    assert reported[0]["bad"] >= 1500 and reported[0]["good"] > 50
