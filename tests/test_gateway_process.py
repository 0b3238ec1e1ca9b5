"""The broker's process: its start, signals and how little it holds, on loopback with ports that the kernel
chooses.
"""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from heathwell.eventloop import sleep
from heathwell.gateway.config import ConfigError, read
from heathwell.testing.simulation.platform_config import encode_config
from heathwell.testing.simulation.platform_fleet import PlatformFleet

from .loaded_modules import among, loaded_modules, missing_modules

ROOT = Path(__file__).resolve().parent.parent
HEAVY = (
    "numpy",
    "usearch",
    "lark",
    "click",
    "structlog",
    "prometheus_client",
    "hdrh",
    "pymemcache",
    "xxhash",
    "heathwell.testing.simulation",
    "heathwell.testing.standins",
    "heathwell.service.vectors",
    "heathwell.service.retry_storms",
    "heathwell.servers",
    "heathwell.fleet.membership",
    "heathwell.fleet.quotas",
    "heathwell.fleet.control",
    "heathwell.testing.modelcheck",
    "heathwell.settings",
    "heathwell.service.merging",
    "heathwell.service.regions",
    "heathwell.service.freshness",
    "heathwell.service.service_broker",
)


def without(field):
    table = json.loads(encode_config())
    del table[field]
    return json.dumps(table).encode()


def settings(**changes):
    table = json.loads(encode_config())
    table["settings"].update(changes)
    return json.dumps(table).encode()


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"{", "JSON"),
        (b"[]", "object"),
        (without("name"), "name"),
        (without("listen"), "listen"),
        (without("discovery"), "discovery"),
        (without("seed"), "seed"),
        (without("limits"), "limits"),
        (without("settings"), "settings"),
        (encode_config(listen="nowhere"), "listen"),
        (encode_config(seed="xyz"), "seed"),
        (encode_config(discovery="a:99999"), "discovery"),
        (encode_config(limits={"sockets": 5}), "limits.sockets"),
        (encode_config(limits={"sockets": "many"}), "limits.sockets"),
        (encode_config(known={"rev": 1}), "known"),
        (settings(classes=[]), "classes"),
        (settings(zones="a"), "zones"),
        (settings(specifics=None), "specifics"),
        (settings(ceilings={"max-attempts": 3, "conn-idle-us": "x"}), "conn-idle-us"),
    ],
)
def test_what_is_wrong_in_the_configuration_is_named(data, word):
    with pytest.raises(ConfigError, match=re.escape(word)):
        read(data)


def start(environment):
    return subprocess.run(
        [sys.executable, "-m", "heathwell.gateway"],
        cwd=ROOT,
        env=environment,
        text=True,
        capture_output=True,
        timeout=30,
        check=False,
    )


def test_a_start_that_cant_be_is_exit_code_2_and_one_line(tmp_path):
    base = {"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1"}
    path = tmp_path / "config.json"
    path.write_bytes(without("discovery"))
    for environment, word in (
        (base, "GW_CONFIG"),
        ({**base, "GW_CONFIG": str(tmp_path / "none")}, "GW_CONFIG"),
        ({**base, "GW_CONFIG": str(path)}, "discovery"),
    ):
        done = start(environment)
        assert done.returncode == 2 and word in done.stderr and done.stderr.count("\n") == 1
    path.write_bytes(encode_config())
    for variable, value in (("GW_NAME", "other"), ("GW_LISTEN", "a:1"), ("GW_DISCOVERY", "nowhere")):
        done = start({**base, "GW_CONFIG": str(path), variable: value})
        assert done.returncode == 2 and variable in done.stderr


def test_the_start_imports_nothing_heavy():
    assert not missing_modules(HEAVY)
    loaded = loaded_modules("heathwell.gateway.process")
    assert "heathwell.gateway.process" in loaded
    assert not among(loaded, HEAVY)


@pytest.fixture
def running(tmp_path):
    worlds = []

    def build(**more):
        worlds.append(PlatformFleet(tmp_path, **more))
        return worlds[-1]

    yield build
    for world in worlds:
        world.close()


def test_it_serves_with_discovery_down_in_one_thread_and_few_descriptors(running):
    world = running(has_discovery=False)

    def main():
        response = yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])
        return response.status

    assert world.run(main()) == 200
    pid = world.process.pid
    assert "Threads:\t1\n" in Path(f"/proc/{pid}/status").read_text()
    assert len(os.listdir(f"/proc/{pid}/fd")) < 24


def test_sigterm_serves_who_still_comes_and_finishes_a_second_step_that_is_out(running):
    world = running()
    for node in world.nodes:
        node.work_us = 200_000

    def main():
        yield from world.wait_for_log("ready")
        client, late = world.client(), world.client()
        first = world.loop.spawn(client.send_query("q1", "day-report", [0, 1, 2, 3]), "first")
        while not any(part.id.endswith(".fetch") for node in world.nodes for part in node.parts):
            yield from sleep(world.loop, 5_000)
        world.process.send_signal(signal.SIGTERM)
        world.process.send_signal(signal.SIGTERM)
        yield from world.wait_for_log("terminating")
        second = yield from late.send_query("q2", "price-search", [0, 1, 2, 3])
        one = yield from first.join()
        code = yield from world.wait_for_exit()
        return one.status, second.status, code

    assert world.run(main()) == (200, 200, 0)


def test_sighup_moves_discovery_and_refuses_a_broken_file(running):
    world = running()

    def main():
        client = world.client()
        while not world.discoveries[0].queries:
            yield from sleep(world.loop, 5_000)
        world.config_path.write_bytes(b'{"name": "n1"')
        world.process.send_signal(signal.SIGHUP)
        yield from world.wait_for_log("refused")
        one = yield from client.send_query("q1", "price-search", [0, 1, 2, 3])
        assert not world.discoveries[1].queries
        world.write_config(world.discoveries[1].address)
        world.process.send_signal(signal.SIGHUP)
        while not world.discoveries[1].queries:
            yield from sleep(world.loop, 5_000)
        two = yield from client.send_query("q2", "price-search", [0, 1, 2, 3])
        return one.status, two.status

    assert world.run(main()) == (200, 200)
    assert world.process.poll() is None


def test_the_demo_starts_asks_and_ends():
    done = subprocess.run(
        [sys.executable, "-m", "heathwell", "platform", "--seconds", "0.2"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    for kind in ("price-search", "day-report", "sale-record"):
        assert f'{kind}: 200 {{"exact":true' in done.stdout
    assert "exit code 0" in done.stdout
