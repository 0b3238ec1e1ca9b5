"""Leaving a zone over processes: brokers, hosts and keepers of three zones, with faults between; judged from
logs.
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
MARKET = (ROOT / "examples/market-fleet.sx").read_text()
SWAPS = (
    ("(most 8)", "(most 8) (evacuate yes)"),
    ("(leaves 6)", "(leaves 9)"),
    ("(cells 6)", "(cells 9)"),
    ("(level info)", "(level error)"),
)
ZONE = "leaf1 leaf4 leaf7"  # hosts of hki-2, and b1 and b4 are its brokers


def decisions(seen):
    """What keepers decided, in its order, and what brokers went by."""
    by_keepers = [event for event in seen if event.ev == "zones" and event.who.startswith("k")]
    by_brokers = [event for event in seen if event.ev == "zones" and event.who.startswith("b")]
    return by_keepers, by_brokers


def left(seen, zone="hki-2"):
    return [
        event for event in decisions(seen)[0] if event["states"].get(zone, [""])[0] in ("leaving", "left")
    ]


def once_and_back(seen):
    states = [event["states"].get("hki-2", ["served"])[0] for event in decisions(seen)[0] if event["number"]]
    assert (
        states.index("leaving") < states.index("left") < states.index("returning") and states[-1] == "served"
    )
    shares = [
        event["states"]["hki-2"][1]
        for event in decisions(seen)[0]
        if event["states"].get("hki-2", [""])[0] == "returning"
    ]
    assert shares == sorted(shares)


def all_within_a_second(seen):
    """Of the brokers that keepers can reach: each decision to leave, within a second and what a busy machine
    adds.
    """
    keepers, brokers = decisions(seen)
    leaving = next(event for event in keepers if event["states"].get("hki-2", [""])[0] == "leaving")
    told = [
        event.t
        for event in brokers
        if (event["term"], event["number"]) == (leaving["term"], leaving["number"])
    ]
    assert len(told) == 6 and max(told) - min(told) <= 2_000_000


def no_number_goes_back(seen):
    for who in {event.who for event in seen if event.ev == "zones" and event.who.startswith("b")}:
        numbers = [
            (event["term"], event["number"]) for event in seen if event.ev == "zones" and event.who == who
        ]
        assert numbers == sorted(set(numbers))


def nothing_left(seen):
    assert not left(seen)


def stands(seen):
    """With no keeper the last decision stands: nobody goes by another."""
    gone = max(event.t for event in seen if event.who.startswith("k"))
    assert left(seen) and not [event for event in decisions(seen)[1] if event.t > gone + 1_000_000]


def never_the_last(seen):
    """Two zones are sick, and both may be left while the third bears it; the third never is."""
    assert left(seen) and not left(seen, "hki-1")


def longer_each_time(seen):
    """Left again after a return, for longer: brokers are not swung to and fro with the zone."""
    states = [event["states"].get("hki-2", ["served"])[0] for event in decisions(seen)[0] if event["number"]]
    assert 1 <= states.count("leaving") <= 2  # four falls


def but_for_one_class(seen):
    """Where the zone is left it is for that class alone."""
    assert all(
        "price-search" in event["why"] for event in left(seen) if event["states"]["hki-2"][0] == "leaving"
    )


def comes_back(seen):
    last = decisions(seen)[0][-1]
    assert left(seen) and not last["states"]


def decided_on(seen):
    """The next to decide goes on from what brokers go by, under a later term."""
    terms = [event["term"] for event in decisions(seen)[0]]
    assert max(terms) > 1 and terms == sorted(terms) and left(seen)


CASES = {
    "a zone's hosts killed and back cold": (
        f"(at 8s crash (to {ZONE}) (span 8s))",
        48,
        (once_and_back, all_within_a_second),
    ),
    "a fifth of its hosts bad": ("(at 8s lose (to leaf1) (span 12s) (value 0.3))", 24, (nothing_left,)),
    "a broker that is itself cut off": ("(at 8s cut (from b0) (to leaf*) (span 10s))", 24, (nothing_left,)),
    "one way of a link cut": (f"(at 8s cut-back (from b0 b3) (to {ZONE}) (span 8s))", 24, (nothing_left,)),
    "a zone cut off from the others": (f"(at 8s cut (from b0 b2 b3 b5) (to {ZONE}) (span 8s))", 30, (left,)),
    "the deciding keeper killed as a zone is left": (
        f"(at 8s crash (to {ZONE}) (span 14s)) (at 12500ms kill (to k0) (span 1s))",
        40,
        (left,),
    ),
    "the deciding keeper gone for long": (
        f"(at 8s crash (to {ZONE}) (span 20s)) (at 13s kill (to k0) (span 30s))",
        44,
        (decided_on,),
    ),
    "all keepers gone as a zone is left": (
        f"(at 8s crash (to {ZONE}) (span 8s)) (at 14s kill (to k*) (span 60s))",
        26,
        (stands,),
    ),
    "half the brokers restarted while a zone is left": (
        f"(at 8s crash (to {ZONE}) (span 12s)) (at 13s kill (to b0 b2 b4) (span 500ms))",
        44,
        (left,),
    ),
}
CASES |= {
    "a zone killed whole, with its brokers": (
        f"(at 8s crash (to {ZONE}) (span 8s)) (at 8s kill (to b1 b4) (span 8s))",
        48,
        (once_and_back,),
    ),
    "ten times slower, for one class": (
        f"(at 8s slow (to {ZONE}) (span 12s) (value 10) (class price-search))",
        30,
        (but_for_one_class,),
    ),
    "one class fails there": (
        f"(at 8s failclass (to {ZONE}) (span 12s) (class price-search))",
        30,
        (but_for_one_class,),
    ),
    "5 % of answers lost there": (f"(at 8s lose (to {ZONE}) (span 12s) (value 0.05))", 24, (nothing_left,)),
    "two zones sick at once": (
        f"(at 8s crash (to {ZONE} leaf2 leaf5 leaf8) (span 8s))",
        30,
        (never_the_last,),
    ),
    "flapping each 8 s": (
        " ".join(f"(at {at}s crash (to {ZONE}) (span 4s))" for at in (8, 16, 24, 32)),
        56,
        (longer_each_time,),
    ),
    "the deciding keeper killed as a zone comes back": (
        f"(at 8s crash (to {ZONE}) (span 6s)) (at 27s kill (to k0) (span 30s))",
        66,
        (decided_on, comes_back),
    ),
    "all clients moved to the other zones' brokers": (
        "(at 8s kill (to b1 b4) (span 10s))",
        24,
        (nothing_left,),
    ),
}
QUICK = ("a zone's hosts killed and back cold",)


def write_service_settings(path):
    text = MARKET
    for old, new in SWAPS:
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    "name", [pytest.param(name, marks=[] if name in QUICK else pytest.mark.fleet) for name in CASES]
)
def test_a_zone_is_left_and_come_back_to_as_it_should(name, tmp_path):
    steps, seconds, shows = CASES[name]
    write_service_settings(tmp_path / "market.sx")
    (tmp_path / "day.sx").write_text(
        f'(market "market.sx") (seconds {seconds}) (seed 3) (wires yes)\n'
        f"(load (rate 36) (clients 64) (mix price (share 3)) (mix report) (mix sale (share 2)))\n{steps}\n"
    )
    day = FaultScenario(
        *load_script(str(tmp_path / "day.sx")), folder=tmp_path / "out", report=lambda _text: None
    )
    verdict = day.run()
    assert not day.injection_errors and verdict.kept, (day.injection_errors, verdict.breaches[:5])
    assert judge_budgets(day.logged).kept
    no_number_goes_back(day.logged)
    for show in shows:
        found = show(day.logged)
        assert found is None or found


class Asker(threading.Thread):
    """A client of one broker that asks one thing after another, until told to stop."""

    def __init__(self, address):
        super().__init__(daemon=True)
        self.address, self.stop, self.told = address, threading.Event(), 0

    def run(self):
        host, port = self.address.rsplit(":", 1)
        with socket.create_connection((host, int(port)), 30) as sock:
            while not self.stop.wait(0.05):
                sock.sendall(b"get price:t%d\r\n" % (self.told % 40))
                data = b""
                while not data.endswith(b"END\r\n"):
                    more = sock.recv(65_536)
                    if not more:
                        return
                    data += more
                self.told += 1


@pytest.fixture
def running(tmp_path):
    path = write_service_settings(tmp_path / "market.sx")
    ports = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    keepers = " ".join(f'"127.0.0.1:{port.getsockname()[1]}"' for port in ports)
    for port in ports:
        port.close()
    text = re.sub(r"\(keepers [^)]*\)", f"(keepers {keepers})", path.read_text())
    path.write_text(
        text.replace("(most 8)", "(most 12)")
        .replace("(whole 12)", "(whole 18)")
        .replace("(whole 14)", "(whole 22)")
    )
    config = str(path)
    fleet = ProcessFleet(config, load(config))
    askers = []
    try:
        fleet.start()
        askers = [Asker(member.address) for member in fleet.brokers]
        for asker in askers:
            asker.start()
        yield (
            fleet,
            [sys.executable, "-m", "heathwell", "zone"],
            ["--config", config, "--keepers", ",".join(member.address for member in fleet.coordinators)],
        )
    finally:
        for asker in askers:
            asker.stop.set()
        fleet.stop()


def resting(address):
    """A client that was answered once and asks for nothing more."""
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), 60)
    sock.sendall(b"version\r\n")
    assert sock.recv(64).startswith(b"VERSION")
    return sock


def health(member):
    try:
        return urllib.request.urlopen(f"http://{member.admin_address}/healthz", timeout=30).read()
    except urllib.error.HTTPError as problem:
        return problem.read()


def decides(command, where):
    """Wait until a keeper decides: brokers are heard first."""
    for _ in range(60):
        if (
            subprocess.run(
                [*command, "status", *where], cwd=ROOT, capture_output=True, check=False
            ).returncode
            == 0
        ):
            return
    raise AssertionError("no keeper decides")


@pytest.mark.fleet
def test_a_drill_leaves_a_zone_lets_its_idle_clients_go_and_tells_what_it_cost(running):
    """Processes of nine hosts, six brokers and three keepers, asked all the while."""
    fleet, command, where = running
    decides(command, where)
    there = [member for member in fleet.brokers if member.zone == 1]
    socks = [resting(member.address) for member in there for _ in range(4)]
    others = [resting(member.address) for member in fleet.brokers if member.zone != 1]
    drill = subprocess.Popen(
        [*command, "drill", "hki-2", "--seconds", "14", "--json", *where],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert [sock.recv(64) for sock in socks] == [b""] * len(
        socks
    )  # let go, within the ten seconds of the settings
    assert {health(member) for member in there} == {b"the fleet leaves this zone\n"}
    assert {health(member) for member in fleet.brokers if member.zone != 1} == {b"ok\n"}
    resting(there[0].address).close()  # who comes is served
    out, err = drill.communicate(timeout=300)
    assert drill.returncode == 0, (out, err)
    rows = {row["stage"]: row for row in json.loads(out)["stages"]}
    assert list(rows) == ["before", "leaving", "away", "returning", "after"]
    assert rows["away"]["there_a_second"] < rows["before"]["there_a_second"] / 2
    for sock in others:
        sock.sendall(b"version\r\n")
        assert sock.recv(64).startswith(b"VERSION")
    assert {health(member) for member in there} == {b"ok\n"}


@pytest.mark.fleet
def test_a_drill_that_is_ended_half_way_comes_back_before_it_goes(running):
    fleet, command, where = running
    decides(command, where)
    drill = subprocess.Popen(
        [*command, "drill", "hki-2", "--seconds", "600", *where], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    for line in drill.stdout:
        if "away" in line:
            break
    drill.send_signal(signal.SIGTERM)
    assert drill.wait(60) == 143
    for _ in range(120):
        status = subprocess.run(
            [*command, "status", *where], cwd=ROOT, capture_output=True, text=True, check=False
        )
        if "hki-2: served" in status.stdout:
            return
    raise AssertionError(status.stdout)


class Liar:
    """A broker's word that a zone is sick, whatever it sees."""

    def __init__(self, name, zone, of):
        self.name, self.zone, self.of = name, zone, of

    def report(self, _now):
        return BrokerReport(
            self.name, self.zone, {ZoneClassKey(self.of, "price-search"): AttemptCounts(bad=500)}
        )

    def on_decision(self, _decision):
        """It goes by nothing."""


@pytest.fixture
def liars(running):
    """Three more members, whose words are lies; in a loop of their own beside the processes."""
    fleet, _, where = running
    loop, net, _ = socket_loop()
    spec = fleet.service_settings.fleet
    agents = []
    for n, zone in enumerate(("hki-1", "espoo-1", "hki-1")):
        name = f"liar{n}"
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
                tuple(where[-1].split(",")),
                renewal_interval_us=spec.renew,
                timings=quota_timings_from_settings(spec),
                seed=n,
                log=lambda *_args, **_fields: None,
                fleet=spec.called,
            )
        )
        agents[-1].attach_zone_observer(Liar(name, zone, "hki-2"))
    beside = threading.Thread(target=loop.run, daemon=True)
    beside.start()
    yield agents
    loop.call_threadsafe(loop.stop)
    beside.join(30)
    loop.shutdown()


@pytest.mark.fleet
def test_three_liars_of_nine_make_the_fleet_leave_nothing(running, liars):
    """Their words are heard: keepers have them among the roll, and see what they say they saw."""
    fleet, command, where = running
    decides(command, where)
    until = time.monotonic() + 20
    while time.monotonic() < until:
        out = subprocess.run(
            [*command, "status", "--json", *where], cwd=ROOT, capture_output=True, text=True, check=False
        ).stdout
        deciding = [view for view in json.loads(out).values() if isinstance(view, dict) and view["decides"]]
        if deciding:
            lies = [
                row
                for row in deciding[0]["seen"]
                if row["zone"] == "hki-2" and row["klass"] == "price-search"
            ]
            assert (
                deciding[0]["states"]["hki-2"] in ("served", "doubted")
                and deciding[0]["decision"]["number"] == 0
            )
    assert lies[0]["bad"] >= 1500 and lies[0]["good"] > 50  # of all three, beside what is true
