"""The server's side of the memcached text protocol: classic and meta commands.

Source: memcached's own protocol.txt and "meta commands" pages, version 1.6. :class:`CommandParser` parses
bytes to commands. An invalid line gives a :class:`MalformedCommand` in its place, and parsing continues
behind it. Data blocks are discarded, as this server stores nothing.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import ClassVar

from heathwell.codec.errors import CodecError

MAX_KEY_BYTES = 250
MAX_OPAQUE_BYTES = 32
MAX_BLOCK_BYTES = 1 << 31
MAX_ERROR_TEXT_BYTES = 480
NOT_IN_KEYS = bytes(range(33)) + b"\x7f"  # control characters and the space
# The number of arguments of each storage command, without `noreply`.
STORAGE_COMMANDS = {b"set": 4, b"add": 4, b"replace": 4, b"append": 4, b"prepend": 4, b"cas": 5}
CLASSIC_WRITES = (b"delete", b"incr", b"decr", b"touch", b"flush_all", b"cache_memlimit")
META_WRITES = (b"md", b"ma")
READ_ONLY = "read only: this server answers queries and stores nothing"
META_GET_RETURN_FLAGS = b"bcfhklqstv"
META_GET_TOKEN_FLAGS = b"OTE"
META_GET_STORING_FLAGS = b"NR"
TOO_LONG_LINE = b"\n"  # stands for a discarded line; no parsed line can equal it, as line ends are removed


class CommandError(CodecError):
    """A command line that can't be served; ``reply`` is the error line for the client."""

    def __init__(self, reply: bytes) -> None:
        super().__init__(reply.decode().rstrip())
        self.reply = reply


@dataclass(frozen=True, slots=True)
class Get:
    """``get``, ``gets``, ``gat`` and ``gats``: one reply for all keys; ``cas`` requests the unique value."""

    keys: tuple[bytes, ...]
    cas: bool = False


@dataclass(frozen=True, slots=True)
class MetaGet:
    """``mg``; ``key_token`` is the key as the client sent it, in base64 if it set the flag ``b``."""

    key: bytes
    key_token: bytes
    flags: tuple[bytes, ...]

    @property
    def quiet(self) -> bool:
        """Whether a miss gets no reply."""
        return b"q" in self.flags

    @property
    def returns_value(self) -> bool:
        """Whether the reply contains the value."""
        return b"v" in self.flags


@dataclass(frozen=True, slots=True)
class Noop:
    """``mn``."""


@dataclass(frozen=True, slots=True)
class ServerCommand:
    """``version``, ``stats``, ``verbosity`` and ``quit`` with their arguments."""

    name: str
    args: tuple[bytes, ...] = ()
    quiet: bool = False


@dataclass(frozen=True, slots=True)
class RejectedCommand:
    """A command that would store; its data block, if it has one, is discarded."""

    name: str
    quiet: bool


@dataclass(frozen=True, slots=True)
class MalformedCommand:
    """A line that is not a command of the protocol; ``line`` is the reply to it."""

    line: bytes


Command = Get | MetaGet | Noop | ServerCommand | RejectedCommand | MalformedCommand


@dataclass(slots=True)
class _DataBlock:
    """A data block that is being discarded; ``command`` follows it."""

    command: Command
    bytes_left: int


class CommandParser:
    """The incremental parser of one connection.

    ``max_line_bytes`` bounds the buffered bytes of a line and ``max_keys`` the keys of one get.
    """

    def __init__(self, max_line_bytes: int = 65_536, max_keys: int = 200) -> None:
        self.max_line_bytes = max_line_bytes
        self.max_keys = max_keys
        self._buffer = bytearray()
        self._scanned_bytes = 0  # leading bytes of the buffer that are known to contain no line end
        self._skipping = False  # whether the rest of a line over the limit is being discarded
        self._block: _DataBlock | None = None

    @property
    def buffered(self) -> int:
        """Number of buffered bytes of an incomplete line."""
        return len(self._buffer)

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has begun and not ended."""
        return bool(self._buffer) or self._skipping or self._block is not None

    def feed(self, data: bytes) -> Iterator[Command]:
        """Yield the commands that these bytes complete, in order."""
        self._buffer += data
        while True:
            if self._block is not None:
                if not self._discard_block(self._block):
                    return
                command = self._block.command
                self._block = None
                yield command
                continue
            line = self._next_line()
            if line is None:
                return
            try:
                parsed = self._parse(line)
            except CommandError as error:
                parsed = MalformedCommand(error.reply)
            if parsed is not None:
                yield parsed

    def _next_line(self) -> bytes | None:
        """Return the next complete line without its end, or ``TOO_LONG_LINE`` for one over the limit."""
        end = self._buffer.find(b"\n", self._scanned_bytes)
        if end < 0:
            if len(self._buffer) > self.max_line_bytes:
                self._skipping = True
                self._buffer.clear()
            self._scanned_bytes = len(self._buffer)
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        self._scanned_bytes = 0
        if self._skipping or len(line) > self.max_line_bytes:
            self._skipping = False
            return TOO_LONG_LINE
        return line[:-1] if line.endswith(b"\r") else line

    def _discard_block(self, block: _DataBlock) -> bool:
        """Discard bytes of a data block; return whether it and its end are complete."""
        bytes_left = block.bytes_left
        discarded = min(bytes_left, len(self._buffer))
        del self._buffer[:discarded]
        block.bytes_left = bytes_left - discarded
        self._scanned_bytes = 0
        if bytes_left > discarded:
            return False
        if self._buffer[:1] == b"\n":
            del self._buffer[:1]
            return True
        if self._buffer[:2] == b"\r\n":
            del self._buffer[:2]
            return True
        if bytes(self._buffer[:2]) in (b"", b"\r"):
            return False
        # The block is longer than its stated length: as in memcached, the rest of the line is discarded.
        block.command = MalformedCommand(b"CLIENT_ERROR bad data chunk\r\n")
        end = self._buffer.find(b"\n")
        if end < 0:
            self._buffer.clear()
            return False
        del self._buffer[: end + 1]
        return True

    def _parse(self, line: bytes) -> Command | None:
        """Return the command of a line, None if its data block follows; raise :class:`CommandError`."""
        if line is TOO_LONG_LINE:
            raise _client_error("line too long")
        words = line.split()
        if not words:
            raise _unknown_command()
        name = words[0]
        parse = self._PARSERS.get(name)
        if parse is None:
            raise _unknown_command()
        return parse(self, name, words[1:])

    def _parse_get(self, name: bytes, args: list[bytes]) -> Command:
        return self._get(args, cas=name == b"gets")

    def _parse_get_and_touch(self, name: bytes, args: list[bytes]) -> Command:
        if not args or not _is_number(args[0]):
            raise _client_error("invalid exptime argument")
        return self._get(args[1:], cas=name == b"gats")

    def _get(self, keys: list[bytes], *, cas: bool) -> Command:
        if not keys:
            raise _unknown_command()
        if len(keys) > self.max_keys:
            raise _client_error(f"more than {self.max_keys} keys in one get")
        for key in keys:
            _check_key(key)
        return Get(tuple(keys), cas)

    def _parse_meta_get(self, _name: bytes, args: list[bytes]) -> Command:
        if not args:
            raise _client_error("bad command line format")
        key_token = args[0]
        flags = tuple(args[1:])
        for flag in flags:
            _check_meta_get_flag(flag)
        if len({flag[:1] for flag in flags}) != len(flags):
            raise _client_error("duplicate flag")
        _check_key(key_token)
        key = _decode_key(key_token) if b"b" in flags else key_token
        return MetaGet(key, key_token, flags)

    def _parse_noop(self, _name: bytes, _args: list[bytes]) -> Command:
        return Noop()

    def _parse_storage(self, name: bytes, args: list[bytes]) -> None:
        expected_args = STORAGE_COMMANDS[name]
        if len(args) < expected_args:
            raise _unknown_command()
        quiet = len(args) > expected_args and args[expected_args] == b"noreply"
        self._begin_block(RejectedCommand(name.decode(), quiet), args[3])

    def _parse_meta_set(self, name: bytes, args: list[bytes]) -> None:
        if len(args) < 2:
            raise _client_error("bad command line format")
        self._begin_block(RejectedCommand(name.decode(), b"q" in args[2:]), args[1])

    def _begin_block(self, command: RejectedCommand, size: bytes) -> None:
        if not size.isdigit() or int(size) >= MAX_BLOCK_BYTES:
            raise _client_error("bad data chunk")
        self._block = _DataBlock(command, int(size))

    def _parse_classic_write(self, name: bytes, args: list[bytes]) -> Command:
        return RejectedCommand(name.decode(), quiet=args[-1:] == [b"noreply"])

    def _parse_meta_write(self, name: bytes, args: list[bytes]) -> Command:
        return RejectedCommand(name.decode(), quiet=b"q" in args[1:])

    def _parse_server_command(self, name: bytes, args: list[bytes]) -> Command:
        return ServerCommand(name.decode(), tuple(args))

    def _parse_verbosity(self, name: bytes, args: list[bytes]) -> Command:
        return ServerCommand(name.decode(), tuple(args), quiet=args[-1:] == [b"noreply"])

    _PARSERS: ClassVar[dict[bytes, Callable[[CommandParser, bytes, list[bytes]], Command | None]]] = {
        b"get": _parse_get,
        b"gets": _parse_get,
        b"gat": _parse_get_and_touch,
        b"gats": _parse_get_and_touch,
        b"mg": _parse_meta_get,
        b"mn": _parse_noop,
        b"ms": _parse_meta_set,
        **dict.fromkeys(STORAGE_COMMANDS, _parse_storage),
        **dict.fromkeys(CLASSIC_WRITES, _parse_classic_write),
        **dict.fromkeys(META_WRITES, _parse_meta_write),
        b"version": _parse_server_command,
        b"stats": _parse_server_command,
        b"quit": _parse_server_command,
        b"verbosity": _parse_verbosity,
    }


def _is_number(text: bytes) -> bool:
    return text.lstrip(b"-").isdigit()


def _check_key(key: bytes) -> None:
    if len(key) > MAX_KEY_BYTES:
        raise _client_error(f"key longer than {MAX_KEY_BYTES} bytes")
    if key.translate(None, NOT_IN_KEYS) != key:
        raise _client_error("control character in a key")


def _check_meta_get_flag(flag: bytes) -> None:
    letter = flag[0]
    if letter in META_GET_STORING_FLAGS:
        raise _client_error(f"flag {chr(letter)} would store: {READ_ONLY}")
    if letter in META_GET_RETURN_FLAGS:
        if len(flag) > 1:
            raise _client_error("invalid flag")
    elif letter not in META_GET_TOKEN_FLAGS:
        raise _client_error("invalid flag")
    if flag[:1] == b"O" and len(flag) > 1 + MAX_OPAQUE_BYTES:
        raise _client_error("opaque token too long")


def _decode_key(key_token: bytes) -> bytes:
    try:
        key = base64.b64decode(key_token, validate=True)
    except (binascii.Error, ValueError):
        key = b""
    if not key:
        raise _client_error("error decoding key")
    return key


def _client_error(text: str) -> CommandError:
    return CommandError(b"CLIENT_ERROR " + text.encode() + b"\r\n")


def _unknown_command() -> CommandError:
    return CommandError(b"ERROR\r\n")


# Replies.

END = b"END\r\n"


def value(key: bytes, flags: int, data: bytes, cas: int | None = None) -> bytes:
    """Return one ``VALUE`` of a classic get."""
    unique = b"" if cas is None else b" %d" % cas
    return b"VALUE %b %d %d%b\r\n%b\r\n" % (key, flags, len(data), unique, data)


def server_error(text: str) -> bytes:
    """Return a ``SERVER_ERROR`` line, which clients raise as an error and don't take for a miss."""
    one_line = text.replace("\r", " ").replace("\n", " ")
    return b"SERVER_ERROR " + one_line.encode()[:MAX_ERROR_TEXT_BYTES] + b"\r\n"


def meta_value(request: MetaGet, flags: int, data: bytes, cas: int) -> bytes:
    """Return the reply to an ``mg`` that hits: ``VA`` with the data if it has the flag ``v``, else ``HD``."""
    returned = [_returned_flag(flag, request, flags, data, cas) for flag in request.flags]
    returned_flags = b"".join(b" " + text for text in returned if text)
    if request.returns_value:
        return b"VA %d%b\r\n%b\r\n" % (len(data), returned_flags, data)
    return b"HD%b\r\n" % returned_flags


def _returned_flag(flag: bytes, request: MetaGet, flags: int, data: bytes, cas: int) -> bytes:
    """Return a flag of a request with its value in the reply; nothing if the reply doesn't contain it."""
    match flag[:1]:
        case b"O" | b"b":
            return flag
        case b"k":
            return b"k" + request.key_token
        case b"f":
            return b"f%d" % flags
        case b"s":
            return b"s%d" % len(data)
        case b"c":
            return b"c%d" % cas
        case b"t":
            return b"t-1"
        case b"h" | b"l":
            return flag + b"0"
        case _:
            return b""


def meta_miss(request: MetaGet) -> bytes:
    """Return the reply to an ``mg`` that misses; nothing in quiet mode."""
    if request.quiet:
        return b""
    returned = [
        b"k" + request.key_token if flag == b"k" else flag
        for flag in request.flags
        if flag[:1] in (b"O", b"k", b"b")
    ]
    return b"EN" + b"".join(b" " + text for text in returned) + b"\r\n"


def stat_lines(stats: Mapping[str, object]) -> bytes:
    """Return the reply of ``stats``."""
    return b"".join(f"STAT {name} {stats[name]}\r\n".encode() for name in stats) + END
