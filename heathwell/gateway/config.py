"""The configuration that the platform gives a broker at its start and at SIGHUP, with all of its checks.

Each error names its field. All functions but :func:`load`, which reads the file, are pure. Imports the
conversion of settings and the decoder of endpoint lists.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from heathwell import policy
from heathwell.eventloop.net import split_address
from heathwell.gateway.errors import GatewayError
from heathwell.gateway.settings_from_platform import (
    CONNECT_TIMEOUT_US_FIELD,
    IDLE_TIMEOUT_US_FIELD,
    LIMITS_FIELD,
    STREAMS_PER_CONNECTION_FIELD,
    WireError,
    settings_from,
)
from heathwell.gateway.targets import Targets, TargetsError

MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192  # where the limits state none
MAX_NUMBER = 1 << 53
NO_TIMEOUT_US = 1 << 53
MAX_SHOWN_CHARACTERS = 64  # of a rejected value in an error message
DEFAULT_HOLD_US = 1_500_000  # hold time of a watch if the settings state no poll interval
# Descriptors for the standard streams, the poller, the listener, discovery and the Python runtime.
RESERVED_SOCKETS = 24


class ConfigError(GatewayError):
    """A configuration that cannot be used; the message names the field."""


@dataclass(frozen=True, slots=True)
class Connections:
    """Limits of a connection to a node: parts in flight, idle time and connect timeout."""

    streams: int
    idle_us: int
    connect_us: int


@dataclass(frozen=True, slots=True)
class Config:
    """A broker's configuration; ``known`` is the latest endpoint list that the platform knew of."""

    name: str
    listen: str
    discovery: str
    seed: int
    sockets: int
    settings: policy.Settings
    connections: Connections
    zones: tuple[str, ...]
    known: Targets
    memory_mb: int

    @property
    def hold_us(self) -> int:
        """Hold time of a watch of discovery, as long as the poll interval allows.

        Discovery serves many brokers, so that it is not called more often than necessary.
        """
        return self.settings.max_poll_interval_us or DEFAULT_HOLD_US

    @property
    def node_sockets(self) -> int:
        """Descriptors reserved for connections to nodes."""
        return self.sockets // 4

    @property
    def client_sockets(self) -> int:
        """Descriptors for clients' connections."""
        return self.sockets - self.node_sockets - RESERVED_SOCKETS

    @property
    def max_kept_alive_clients(self) -> int:
        """Maximum number of idle client connections that stay open.

        Half of what clients may open: together they have a third of the descriptors.
        """
        return self.sockets // 6


class _Table:
    """A JSON object of the file; its methods raise :class:`ConfigError`, which names the field."""

    def __init__(self, value: object, name: str) -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"{name}: expected an object, got {_describe(value)}")
        self.name = name
        self.values: dict[str, object] = value

    def table(self, field: str) -> _Table:
        """Return a nested object."""
        return _Table(self.values.get(field), field)

    def text(self, field: str) -> str:
        """Return a text that is not empty."""
        value = self.values.get(field)
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{field}: expected a text that is not empty, got {_describe(value)}")
        return value

    def address(self, field: str) -> str:
        """Return an address; port 0 is allowed only for the address to listen on."""
        return _check_address(self.text(field), field)

    def number(self, field: str, minimum: int) -> int:
        """Return a number of at least ``minimum``, truncated to an integer; 0 if absent and allowed."""
        value = self.values.get(field)
        if value is None and minimum == 0:
            return 0
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not minimum <= value <= MAX_NUMBER
        ):
            expected = f"a number from {minimum} to {MAX_NUMBER}"
            raise ConfigError(f"{self.name}.{field}: expected {expected}, got {_describe(value)}")
        return int(value)


def _describe(value: object) -> str:
    """Return a value as an error message shows it."""
    return "nothing" if value is None else repr(value)[:MAX_SHOWN_CHARACTERS]


def _check_address(value: str, field: str) -> str:
    try:
        host, port = split_address(value)
    except ValueError as problem:
        raise ConfigError(f"{field}: {problem}") from None
    if not host or (field != "listen" and not port):
        raise ConfigError(f"{field}: expected an address host:port, got {value!r}")
    return value


def read(data: bytes) -> Config:
    """Return the configuration in a file's bytes; raise :class:`ConfigError`."""
    try:
        table = _Table(json.loads(data), "the file")
    except (ValueError, RecursionError) as problem:
        raise ConfigError(f"the file is not JSON: {problem}") from None
    seed = _seed(table)
    limits = table.table("limits")
    setup = table.table("settings")
    settings = _settings(setup)
    connection_limits = _Table(setup.values[LIMITS_FIELD], f"settings.{LIMITS_FIELD}")
    zones = _zones(setup)
    known = _known(table)
    return Config(
        name=table.text("name"),
        listen=table.address("listen"),
        discovery=table.address("discovery"),
        seed=seed,
        sockets=limits.number("sockets", MIN_SOCKETS),
        memory_mb=limits.number("memory_mb", 0) or DEFAULT_MEMORY_MB,
        settings=settings,
        connections=_connections(connection_limits, settings),
        zones=tuple(zones),
        known=known,
    )


def _seed(table: _Table) -> int:
    seed = table.text("seed")
    try:
        return int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: expected a hexadecimal number, got {seed!r}") from None


def _settings(setup: _Table) -> policy.Settings:
    try:
        return settings_from(setup.values)
    except (WireError, ValueError, TypeError, AttributeError) as problem:
        raise ConfigError(f"settings: {problem}") from None


def _zones(setup: _Table) -> Sequence[str]:
    zones = setup.values.get("zones") or []
    if not isinstance(zones, list) or not all(isinstance(zone, str) for zone in zones):
        raise ConfigError(f"settings.zones: expected a list of names, got {_describe(zones)}")
    return tuple(zones)


def _known(table: _Table) -> Targets:
    try:
        return Targets.from_json(table.values.get("known") or {"rev": 0, "all": True, "targets": []})
    except TargetsError as problem:
        raise ConfigError(f"known: {problem}") from None


def _connections(limits: _Table, settings: policy.Settings) -> Connections:
    """Return the limits of a connection to a node.

    Defaults: one part in flight, no idle timeout, and the shortest timeout of a class to connect.
    """
    return Connections(
        limits.number(STREAMS_PER_CONNECTION_FIELD, 0) or 1,
        limits.number(IDLE_TIMEOUT_US_FIELD, 0) or NO_TIMEOUT_US,
        limits.number(CONNECT_TIMEOUT_US_FIELD, 0) or min(spec.timeout_us for spec in settings.classes),
    )


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration that the environment names; raise :class:`ConfigError`.

    ``GW_NAME`` and ``GW_LISTEN`` must agree with the file, as otherwise it is unknown which of the two is
    meant. ``GW_DISCOVERY`` need only be an address: discovery may have moved since the variable was set, and
    the file's address is used.
    """
    path = environment.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG: expected the path of the configuration file, got nothing")
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise ConfigError(f"GW_CONFIG: {path}: {problem.strerror}") from None
    config = read(data)
    for variable, value in (("GW_NAME", config.name), ("GW_LISTEN", config.listen)):
        expected = environment.get(variable)
        if expected is not None and expected != value:
            raise ConfigError(f"{variable}: expected {value!r} as in the file, got {expected!r}")
    if "GW_DISCOVERY" in environment:
        discovery = environment["GW_DISCOVERY"]
        if not discovery:
            raise ConfigError("GW_DISCOVERY: expected an address host:port, got an empty text")
        _check_address(discovery, "GW_DISCOVERY")
    return config
