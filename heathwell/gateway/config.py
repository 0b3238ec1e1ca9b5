"""What the platform tells a broker at its start and at SIGHUP, checked whole: an error names its field."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from heathwell import policy
from heathwell.gateway.targets import Targets, TargetsError
from heathwell.kernel.net import split_address
from heathwell.settings_from_platform import WireError, settings_from

SOCKETS_LEAST = 64
NEVER_US = 1 << 53
HOLD_US = 1_500_000  # of a watch where the settings state no time to ask in
RESERVED_SOCKETS = 24  # standard streams, the poller, the listener, discovery, and what the language opens


class ConfigError(Exception):
    """A configuration that can't be used; the text names the field."""


@dataclass(frozen=True, slots=True)
class Connections:
    """Figures of connections to nodes (us)."""

    streams: int
    idle_us: int
    connect_us: int


@dataclass(frozen=True, slots=True)
class Config:
    """A broker's start. ``known`` is the list of nodes as it was last had, in discovery's form."""

    name: str
    listen: str
    discovery: str
    seed: int
    sockets: int
    settings: policy.Settings
    connections: Connections
    zones: tuple[str, ...]
    known: Targets

    @property
    def hold_us(self) -> int:
        """How long a watch of discovery waits: no call is due sooner, and discovery serves all brokers in
        turn.
        """
        return self.settings.poll_within_us or HOLD_US

    @property
    def node_sockets(self) -> int:
        """Descriptors set aside for nodes."""
        return self.sockets // 4

    @property
    def client_sockets(self) -> int:
        """Descriptors that clients may hold."""
        return self.sockets - self.node_sockets - RESERVED_SOCKETS

    @property
    def kept_clients(self) -> int:
        """Clients' connections at rest that are kept: half of what they hold at the most for requests."""
        return self.sockets // 6


def _table(value: Any, field: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: an object is expected")
    return value


def _word(table: Mapping[str, Any], field: str) -> str:
    value = table.get(field)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{field}: missing, or not text")
    return value


def _address(table: Mapping[str, Any], field: str) -> str:
    value = _word(table, field)
    try:
        host, port = split_address(value)
    except ValueError as problem:
        raise ConfigError(f"{field}: {problem}") from None
    if not host or (field != "listen" and not port):
        raise ConfigError(f"{field}: address {value!r} is not host:port")
    return value


def _whole(table: Mapping[str, Any], field: str, within: str, least: int) -> int:
    value = table.get(field)
    if value is None and least == 0:
        return 0
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= 1 << 53:
        raise ConfigError(f"{within}.{field}: a number of at least {least} is expected")
    return int(value)


def read(data: bytes) -> Config:
    """The configuration of a file's bytes; raises :class:`ConfigError`."""
    try:
        table = _table(json.loads(data), "the file")
    except (ValueError, RecursionError) as problem:
        raise ConfigError(f"the file is not JSON: {problem}") from None
    seed = _word(table, "seed")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {seed!r} is not a hexadecimal number") from None
    limits = _table(table.get("limits"), "limits")
    setup = _table(table.get("settings"), "settings")
    try:
        settings = settings_from(setup)
    except (WireError, ValueError, TypeError, AttributeError) as problem:
        raise ConfigError(f"settings: {problem}") from None
    ceilings = setup["ceilings"]
    zones = setup.get("zones") or []
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise ConfigError("settings.zones: a list of names is expected")
    try:
        known = Targets.from_json(table.get("known") or {"rev": 0, "all": True, "targets": []})
    except TargetsError as problem:
        raise ConfigError(f"known: {problem}") from None
    within = "settings.ceilings"
    return Config(
        name=_word(table, "name"),
        listen=_address(table, "listen"),
        discovery=_address(table, "discovery"),
        seed=number,
        sockets=_whole(limits, "sockets", "limits", SOCKETS_LEAST),
        settings=settings,
        # Where none is stated: a part a connection, no end of idle ones, no wait beyond what any client
        # waits.
        connections=Connections(
            _whole(ceilings, "streams-per-conn", within, 0) or 1,
            _whole(ceilings, "conn-idle-us", within, 0) or NEVER_US,
            _whole(ceilings, "connect-timeout-us", within, 0)
            or min(spec.timeout_us for spec in settings.classes),
        ),
        zones=tuple(zones),
        known=known,
    )


def load(environment: Mapping[str, str]) -> Config:
    """The configuration that the environment names; raises :class:`ConfigError`, of a file that can't be read
    too.

    Name and address must agree with the file, as two that tell apart leave open which one is meant. Discovery
    may have moved since the variable was set: it must be an address, and the file's is used.
    """
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: missing")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as problem:
        raise ConfigError(f"GW_CONFIG: {path}: {problem.strerror}") from None
    config = read(data)
    for variable, value in (("GW_NAME", config.name), ("GW_LISTEN", config.listen)):
        said = environment.get(variable)
        if said is not None and said != value:
            raise ConfigError(f"{variable}: {said!r}, but the file says {value!r}")
    if "GW_DISCOVERY" in environment:
        _address(environment, "GW_DISCOVERY")
    return config
