"""The broker process: its start, signals and use of resources, on loopback and free ports."""

from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path
from typing import Final

import pytest

from heathwell.eventloop import sleep
from heathwell.gateway.config import ConfigError, read
from heathwell.testing.simulation.platform_config import encode_config
from heathwell.testing.simulation.platform_fleet import PlatformFleet

from .loaded_modules import among, loaded_modules, missing_modules

ROOT: Final = Path(__file__).resolve().parent.parent
MODULES_NOT_LOADED: Final = (
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
    """Return a configuration that lacks a field."""
    table = json.loads(encode_config())
    del table[field]
    return json.dumps(table).encode()


def settings(**changes):
    """Return a configuration with these changes of its settings."""
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
        (encode_config(limits={"sockets": 256, "memory_mb": "much"}), "limits.memory_mb"),
        (encode_config(known={"rev": 1}), "known"),
        (settings(classes=[]), "classes"),
        (settings(zones="a"), "zones"),
        (settings(specifics=None), "specifics"),
        (settings(ceilings={"max-attempts": 3, "conn-idle-us": "x"}), "conn-idle-us"),
    ],
)
def test_the_error_names_what_is_wrong_with_a_configuration(data, word):
    """The message contains the name of the field."""
    with pytest.raises(ConfigError, match=re.escape(word)):
        read(data)


def start(environment):
    """Run the broker with this environment and return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "heathwell.gateway"],
        cwd=ROOT,
        env=environment,
        text=True,
        capture_output=True,
        timeout=30,
        check=False,
    )


def test_a_start_with_invalid_configuration_exits_with_2_and_one_line_on_stderr(tmp_path):
    """The line names the environment variable or the field."""
    base = {"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1"}
    path = tmp_path / "config.json"
    path.write_bytes(without("discovery"))
    for environment, word in (
        (base, "GW_CONFIG"),
        ({**base, "GW_CONFIG": str(tmp_path / "none")}, "GW_CONFIG"),
        ({**base, "GW_CONFIG": str(path)}, "discovery"),
    ):
        completed = start(environment)
        assert completed.returncode == 2 and word in completed.stderr and completed.stderr.count("\n") == 1
    path.write_bytes(encode_config())
    for variable, value in (("GW_NAME", "other"), ("GW_LISTEN", "a:1"), ("GW_DISCOVERY", "nowhere")):
        completed = start({**base, "GW_CONFIG": str(path), variable: value})
        assert completed.returncode == 2 and variable in completed.stderr


def test_the_broker_process_does_not_import_optional_parts():
    """It loads neither libraries that it does not use nor packages of the service broker."""
    assert not missing_modules(MODULES_NOT_LOADED)
    loaded = loaded_modules("heathwell.gateway.process")
    assert "heathwell.gateway.process" in loaded
    assert not among(loaded, MODULES_NOT_LOADED)


@pytest.fixture
def running(tmp_path):
    """Return a function that starts a fleet with a broker process; all are closed after the test."""
    worlds = []

    def build(**more):
        worlds.append(PlatformFleet(tmp_path, **more))
        return worlds[-1]

    yield build
    for world in worlds:
        world.close()


def test_the_broker_serves_without_discovery_in_one_thread_with_few_descriptors(running):
    """It uses the endpoint list of its configuration."""
    world = running(has_discovery=False)

    def main():
        response = yield from world.client().send_query("q1", "price-search", [0, 1, 2, 3])
        return response.status

    assert world.run(main()) == 200
    pid = world.process.pid
    assert "Threads:\t1\n" in Path(f"/proc/{pid}/status").read_text()
    assert len(list(Path(f"/proc/{pid}/fd").iterdir())) < 24


def test_after_sigterm_new_clients_are_served_and_a_second_step_in_flight_is_completed(running):
    """A second SIGTERM has no effect."""
    world = running()
    for node in world.nodes:
        node.work_us = 200_000

    def main():
        yield from world.wait_for_log("ready")
        late_client = world.client()
        first_task = world.loop.spawn(world.client().send_query("q1", "day-report", [0, 1, 2, 3]), "first")
        while not any(part.id.endswith(".fetch") for node in world.nodes for part in node.parts):
            yield from sleep(world.loop, 5_000)
        world.process.send_signal(signal.SIGTERM)
        world.process.send_signal(signal.SIGTERM)
        yield from world.wait_for_log("terminating")
        second = yield from late_client.send_query("q2", "price-search", [0, 1, 2, 3])
        first = yield from first_task.join()
        exit_code = yield from world.wait_for_exit()
        return first.status, second.status, exit_code

    assert world.run(main()) == (200, 200, 0)


def test_sighup_moves_discovery_and_rejects_an_invalid_configuration(running):
    """After a rejected configuration the previous one still applies."""
    world = running()

    def main():
        client = world.client()
        while not world.discoveries[0].queries:
            yield from sleep(world.loop, 5_000)
        world.config_path.write_bytes(b'{"name": "n1"')
        world.process.send_signal(signal.SIGHUP)
        yield from world.wait_for_log("refused")
        first = yield from client.send_query("q1", "price-search", [0, 1, 2, 3])
        assert not world.discoveries[1].queries
        world.write_config(world.discoveries[1].address)
        world.process.send_signal(signal.SIGHUP)
        while not world.discoveries[1].queries:
            yield from sleep(world.loop, 5_000)
        second = yield from client.send_query("q2", "price-search", [0, 1, 2, 3])
        return first.status, second.status

    assert world.run(main()) == (200, 200)
    assert world.process.poll() is None


def test_the_demo_starts_sends_queries_of_each_class_and_exits():
    """The demo is the command `heathwell platform`."""
    completed = subprocess.run(
        [sys.executable, "-m", "heathwell", "platform", "--seconds", "0.2"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 0, completed.stderr
    for class_name in ("price-search", "day-report", "sale-record"):
        assert f'{class_name}: 200 {{"exact":true' in completed.stdout
    assert "exit code 0" in completed.stdout
