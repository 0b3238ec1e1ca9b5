"""One memcached connection: a bounded number of commands in progress, replies in the order of commands."""

from __future__ import annotations

from collections import deque
from collections.abc import Generator
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

import msgspec

from heathwell import __version__
from heathwell.broker.query_state import Handle
from heathwell.broker.replies import Reply
from heathwell.codec import memcached as protocol
from heathwell.eventloop import Coro, Event, Stream, StreamBrokenError, StreamOverrunError, sleep
from heathwell.servers.client_connection import ClientConnection, ClientRegistry
from heathwell.servers.memcached_replies import get_reply, meta_get_reply
from heathwell.service.service_broker import ServiceBroker

READ_BYTES = 16_384  # read from one connection in one turn
MAX_COMMANDS_PER_TURN = 64  # of one connection


@dataclass(slots=True)
class MemcachedServerStatistics:
    """Counters of a memcached server."""

    connections: int = 0
    keys: int = 0
    slow_clients: int = 0  # disconnected, as they did not read their replies
    bad_commands: int = 0
    rejected_writes: int = 0


class StatsReply(msgspec.Struct, frozen=True):
    """The reply to the command ``stats``; the names of the fields are part of the protocol."""

    pid: int
    uptime: int  # seconds
    version: str
    curr_connections: int
    total_connections: int
    cmd_get: int
    queries_held: int
    hosts_known: int
    bad_commands: int
    clients_cut_slow: int
    clients_refused: int
    clients_closed_for_others: int
    writes_refused: int
    stopping: int


class ConnectionServer(Protocol):
    """The part of the server that a connection uses."""

    broker: ServiceBroker
    clients: ClientRegistry[MemcachedConnection]
    statistics: MemcachedServerStatistics

    def stats(self) -> StatsReply:
        """Return the reply to the command ``stats``."""


@dataclass(slots=True)
class PendingReply:
    """The reply to one command, queued in the order of commands; ``data`` is None until it is complete."""

    command: protocol.Get | protocol.MetaGet | None = None
    data: bytes | None = None
    replies: list[Reply | None] = field(default_factory=list)
    handles: list[Handle | None] = field(default_factory=list)
    unanswered_count: int = 0

    def record_reply(self, index: int, reply: Reply) -> bool:
        """Record the reply to the key at an index; return whether all keys have replies now."""
        self.replies[index] = reply
        self.unanswered_count -= 1
        return self.unanswered_count == 0

    def disconnect(self) -> None:
        """Disconnect from the queries without a reply, as the client has disconnected."""
        for handle, reply in zip(self.handles, self.replies, strict=False):
            if handle is not None and reply is None:
                handle.disconnect()


class MemcachedConnection(ClientConnection):
    """One client of a memcached server."""

    def __init__(self, server: ConnectionServer, stream: Stream, number: int) -> None:
        super().__init__(stream, number)
        limits = server.broker.service_settings.limits
        self.opened_at_us = server.broker.loop.now()
        self.pending: deque[PendingReply] = deque()
        self._server = server
        self._parser = protocol.CommandParser(limits.max_line_bytes, limits.max_keys_per_get)
        self._max_pending = limits.max_pipelined_requests
        self._command_count = 0
        self._is_quitting = False
        self._progress = Event()
        self._overrun: StreamOverrunError | None = None
        stream.hard_limit = limits.max_unread_bytes
        stream.max_consecutive_bytes = READ_BYTES
        stream.high_water = min(stream.high_water, limits.max_unread_bytes // 2)

    @property
    def is_idle(self) -> bool:
        """Whether no command is in progress or partly received, and no reply is unsent."""
        return not self.pending and not self.stream.unsent and not self._parser.has_partial_command

    def run(self) -> Coro[None]:
        """Serve until the client ends its requests and each has been answered."""
        self.stream.on_close = self.on_connection_lost
        while not self._is_quitting and (yield from self._serve_piece()):
            pass
        while self.pending and not self.stream.closed:
            yield from self._wait_for_progress()
        yield from self._drain_stream()

    def _serve_piece(self) -> Generator[object, object, bool]:
        """Read bytes and execute the commands that they complete; return false at the end of the stream."""
        data = yield from self.stream.read(READ_BYTES)
        for number, command in enumerate(self._parser.feed(data), start=1):
            self._execute(command)
            if self._is_quitting:
                break
            if number % MAX_COMMANDS_PER_TURN == 0:
                yield from sleep(self._server.broker.loop, 0)
            yield from self._wait_for_capacity()
        return bool(data)

    def on_connection_lost(self) -> None:
        """Disconnect from the queries in progress, as their answers cannot be delivered."""
        pending = self.pending
        self.pending = deque()
        for pending_reply in pending:
            pending_reply.disconnect()
        self._progress.set()

    def _wait_for_capacity(self) -> Coro[None]:
        """Backpressure: wait while too many commands are in progress or the client does not read replies."""
        while len(self.pending) >= self._max_pending and not self.stream.closed:
            yield from self._wait_for_progress()
        yield from self._drain_stream()

    def _wait_for_progress(self) -> Coro[None]:
        self._progress.clear()
        yield from self._progress.wait()
        if self._overrun is not None:
            raise self._overrun

    def _drain_stream(self) -> Coro[None]:
        if self._overrun is not None:
            raise self._overrun
        yield from self.stream.drain()

    def _execute(self, command: protocol.Command) -> None:
        pending = PendingReply()
        self.pending.append(pending)
        match command:
            case protocol.Get(keys=keys):
                pending.command = command
                self._start_queries(pending, keys)
                return
            case protocol.MetaGet(key=key):
                pending.command = command
                self._start_queries(pending, (key,))
                return
            case protocol.Noop():
                pending.data = b"MN\r\n"
            case protocol.RejectedCommand(quiet=is_quiet):
                self._server.statistics.rejected_writes += 1
                pending.data = b"" if is_quiet else protocol.server_error(protocol.READ_ONLY)
            case protocol.MalformedCommand(line=line):
                self._server.statistics.bad_commands += 1
                pending.data = line
            case protocol.ServerCommand():
                pending.data = self._execute_simple(command)
        self._write_completed()

    def _execute_simple(self, command: protocol.ServerCommand) -> bytes:
        match command.name:
            case "version":
                return b"VERSION " + __version__.encode() + b"\r\n"
            case "stats" if command.args[:1] == (b"reset",):
                return b"RESET\r\n"
            case "stats":
                return protocol.stat_lines(
                    {} if command.args else msgspec.structs.asdict(self._server.stats())
                )
            case "verbosity":
                return b"" if command.quiet else b"OK\r\n"
        self._is_quitting = True
        return b""

    def _start_queries(self, pending: PendingReply, keys: tuple[bytes, ...]) -> None:
        self._server.clients.on_request(self)
        self._server.statistics.keys += len(keys)
        self._command_count += 1
        request = f"{self.stream.peer}#{self._command_count}"
        pending.replies = [None] * len(keys)
        pending.unanswered_count = len(keys)
        for index, key in enumerate(keys):
            on_reply = partial(self._on_reply, pending, index)
            handle = self._server.broker.start_query(
                key.decode("utf-8", "replace"), on_reply, request, self.address
            )
            pending.handles.append(handle)

    def _on_reply(self, pending: PendingReply, index: int, reply: Reply) -> None:
        if not pending.record_reply(index, reply):
            return
        replies = [reply for reply in pending.replies if reply is not None]
        if isinstance(pending.command, protocol.Get):
            as_error = self._server.broker.service_settings.broker.refusals == "error"
            pending.data = get_reply(pending.command, replies, as_error=as_error)
        elif pending.command is not None:
            pending.data = meta_get_reply(pending.command, replies[0])
        self._write_completed()

    def _write_completed(self) -> None:
        """Write the complete replies at the head of the queue."""
        try:
            while self.pending and (data := self.pending[0].data) is not None:
                self.pending.popleft()
                if data:
                    self.stream.write(data)
        except StreamOverrunError as error:
            self._overrun = error
        except StreamBrokenError:
            pass  # the reading task notices the loss and ends the connection
        self._progress.set()
