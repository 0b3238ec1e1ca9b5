"""The memcached text protocol as a server speaks it: classic and meta commands.

Source: the project's protocol.txt and "meta commands" pages of memcached 1.6. Feed bytes to
:class:`Requests` and take commands out; whatever is wrong comes out as :class:`Bad` in its place, and
the connection keeps its place in the stream. No data block is ever kept: this side stores nothing.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterator
from dataclasses import dataclass

KEY_MOST = 250
STORAGE = {b"set": 4, b"add": 4, b"replace": 4, b"append": 4, b"prepend": 4, b"cas": 5}
REFUSED = (b"delete", b"incr", b"decr", b"touch", b"flush_all", b"md", b"ma", b"cache_memlimit")
READ_ONLY = "read only: this server answers queries and stores nothing"
# Flags of `mg` that only say what to send back, those that carry a token, and those that would store.
MG_PLAIN, MG_TOKEN, MG_STORES = b"bcfhklqstv", b"OTE", b"NR"
BLOCK_MOST = 1 << 31
TOO_LONG = b"\n"  # stands for a dropped line: no line holds its own end
NOT_A_KEY = bytes(range(33)) + b"\x7f"


@dataclass(frozen=True, slots=True)
class Get:
    """``get``, ``gets``, ``gat`` and ``gats``: one reply for all keys; ``cas`` asks for the unique value."""

    keys: tuple[bytes, ...]
    cas: bool = False


@dataclass(frozen=True, slots=True)
class MetaGet:
    """``mg``; ``flags`` as given, ``shown`` is the key as the client wrote it."""

    key: bytes
    shown: bytes
    flags: tuple[bytes, ...]

    @property
    def quiet(self) -> bool:
        """Whether a miss goes without a reply."""
        return b"q" in self.flags

    @property
    def wants_value(self) -> bool:
        """Whether the value itself is asked for."""
        return b"v" in self.flags


@dataclass(frozen=True, slots=True)
class Noop:
    """``mn``."""


@dataclass(frozen=True, slots=True)
class Simple:
    """``version``, ``stats``, ``verbosity`` and ``quit`` with what follows them."""

    name: str
    args: tuple[bytes, ...] = ()
    quiet: bool = False


@dataclass(frozen=True, slots=True)
class Refuse:
    """A command that would store; its data block, if it has one, has been swallowed."""

    name: str
    quiet: bool


@dataclass(frozen=True, slots=True)
class Bad:
    """A line that is not a command of the protocol: the reply line, ready to be sent."""

    line: bytes


Command = Get | MetaGet | Noop | Simple | Refuse | Bad


class Requests:
    """The incremental parser of one connection.

    ``line_most`` bounds the bytes kept of a line and ``keys_most`` the keys of one get.
    """

    def __init__(self, line_most: int = 65_536, keys_most: int = 200) -> None:
        self.line_most, self.keys_most = line_most, keys_most
        self._buffer = bytearray()
        self._looked = 0
        self._skipping = False  # in a line that is too long already
        self._block: tuple[Command, int] | None = None  # a block to swallow: what to say after it, bytes left

    @property
    def buffered(self) -> int:
        """Bytes held for an unfinished line."""
        return len(self._buffer)

    @property
    def midway(self) -> bool:
        """Whether a command has begun and not ended."""
        return bool(self._buffer) or self._skipping or self._block is not None

    def feed(self, data: bytes) -> Iterator[Command]:
        """Commands completed by these bytes, in order."""
        self._buffer += data
        while True:
            if self._block is not None:
                if not self._swallow():
                    return
                continue_with = self._finish_block()
                if continue_with is not None:
                    yield continue_with
                continue
            line = self._line()
            if line is None:
                return
            command = self._command(line)
            if command is not None:
                yield command

    def _line(self) -> bytes | None:
        """The next whole line without its end; a line over the limit is dropped but for its verdict."""
        at = self._buffer.find(b"\n", self._looked)
        if at < 0:
            if len(self._buffer) > self.line_most:
                self._skipping = True
                self._buffer.clear()
            self._looked = len(self._buffer)
            return None
        line = bytes(self._buffer[:at])
        del self._buffer[: at + 1]
        self._looked = 0
        if self._skipping or len(line) > self.line_most:
            self._skipping = False
            return TOO_LONG
        return line[:-1] if line.endswith(b"\r") else line

    def _swallow(self) -> bool:
        """Drop bytes of a data block; true once it and its end are gone."""
        assert self._block is not None
        reply, left = self._block
        dropped = min(left, len(self._buffer))
        del self._buffer[:dropped]
        self._block = (reply, left - dropped)
        self._looked = 0
        if left > dropped:
            return False
        if self._buffer[:1] == b"\n" or self._buffer[:2] == b"\r\n":
            del self._buffer[: 1 if self._buffer[:1] == b"\n" else 2]
            return True
        if bytes(self._buffer[:2]) in (b"", b"\r"):
            return False
        # The block is longer than was said: as memcached does, the rest of that line goes with it.
        self._block = (Bad(b"CLIENT_ERROR bad data chunk\r\n"), 0)
        at = self._buffer.find(b"\n")
        if at < 0:
            self._buffer.clear()
            return False
        del self._buffer[: at + 1]
        return True

    def _finish_block(self) -> Command | None:
        assert self._block is not None
        reply, self._block = self._block[0], None
        return reply

    def _command(self, line: bytes) -> Command | None:
        if line is TOO_LONG:
            return _wrong("line too long")
        words = line.split()
        if not words:
            return Bad(b"ERROR\r\n")
        name, args = words[0], words[1:]
        if name in (b"get", b"gets"):
            return self._get(args, name == b"gets")
        if name in (b"gat", b"gats"):
            if not args or not _number(args[0]):
                return _wrong("invalid exptime argument")
            return self._get(args[1:], name == b"gats")
        if name == b"mg":
            return self._meta_get(args)
        if name == b"mn":
            return Noop()
        if name in STORAGE:
            return self._storage(name, args)
        if name == b"ms":
            return self._meta_set(args)
        if name in REFUSED:
            quiet = (b"q" in args[1:]) if name in (b"md", b"ma") else args[-1:] == [b"noreply"]
            return Refuse(name.decode(), quiet)
        if name in (b"version", b"stats", b"quit"):
            return Simple(name.decode(), tuple(args))
        if name == b"verbosity":
            return Simple("verbosity", tuple(args), quiet=args[-1:] == [b"noreply"])
        return Bad(b"ERROR\r\n")

    def _get(self, keys: list[bytes], cas: bool) -> Command:
        if not keys:
            return Bad(b"ERROR\r\n")
        if len(keys) > self.keys_most:
            return _wrong(f"more than {self.keys_most} keys in one get")
        for key in keys:
            wrong = _key_fault(key)
            if wrong:
                return _wrong(wrong)
        return Get(tuple(keys), cas)

    def _meta_get(self, args: list[bytes]) -> Command:
        if not args:
            return _wrong("bad command line format")
        shown, flags = args[0], args[1:]
        for flag in flags:
            if flag[:1] in MG_STORES:
                return _wrong(f"flag {chr(flag[0])} would store: {READ_ONLY}")
            if flag[0] not in MG_PLAIN + MG_TOKEN or (flag[0] in MG_PLAIN and len(flag) > 1):
                return _wrong("invalid flag")
            if flag[:1] == b"O" and len(flag) > 33:
                return _wrong("opaque token too long")
        if len({flag[:1] for flag in flags}) != len(flags):
            return _wrong("duplicate flag")
        wrong = _key_fault(shown)
        if wrong:
            return _wrong(wrong)
        key = shown
        if b"b" in flags:
            try:
                key = base64.b64decode(shown, validate=True)
            except (binascii.Error, ValueError):
                return _wrong("error decoding key")
            if not key:
                return _wrong("error decoding key")
        return MetaGet(key, shown, tuple(flags))

    def _storage(self, name: bytes, args: list[bytes]) -> Command | None:
        quiet = len(args) > STORAGE[name] and args[STORAGE[name]] == b"noreply"
        if len(args) < STORAGE[name]:
            return Bad(b"ERROR\r\n")
        return self._block_follows(name, args[3], quiet)

    def _meta_set(self, args: list[bytes]) -> Command | None:
        if len(args) < 2:
            return _wrong("bad command line format")
        return self._block_follows(b"ms", args[1], b"q" in args[2:])

    def _block_follows(self, name: bytes, size: bytes, quiet: bool) -> Command | None:
        if not size.isdigit() or int(size) >= BLOCK_MOST:
            return _wrong("bad data chunk")
        self._block = (Refuse(name.decode(), quiet), int(size))
        return None


def _number(text: bytes) -> bool:
    return text.lstrip(b"-").isdigit()


def _key_fault(key: bytes) -> str:
    if len(key) > KEY_MOST:
        return f"key longer than {KEY_MOST} bytes"
    if key.translate(None, NOT_A_KEY) != key:
        return "control character in a key"
    return ""


def _wrong(text: str) -> Bad:
    return Bad(b"CLIENT_ERROR " + text.encode() + b"\r\n")


# Replies


def value(key: bytes, flags: int, data: bytes, cas: int | None = None) -> bytes:
    """One ``VALUE`` of a classic get."""
    unique = b"" if cas is None else b" %d" % cas
    return b"VALUE %b %d %d%b\r\n%b\r\n" % (key, flags, len(data), unique, data)


END = b"END\r\n"


def server_error(text: str) -> bytes:
    """A ``SERVER_ERROR`` line; clients raise it, none takes it for a miss."""
    return b"SERVER_ERROR " + text.replace("\r", " ").replace("\n", " ").encode()[:480] + b"\r\n"


def meta_value(request: MetaGet, flags: int, data: bytes, cas: int) -> bytes:
    """The hit of an ``mg``: ``VA`` with the data where it was asked for, ``HD`` without."""
    back = []
    for flag in request.flags:
        match flag[:1]:
            case b"O" | b"b":
                back.append(flag)
            case b"k":
                back.append(b"k" + request.shown)
            case b"f":
                back.append(b"f%d" % flags)
            case b"s":
                back.append(b"s%d" % len(data))
            case b"c":
                back.append(b"c%d" % cas)
            case b"t":
                back.append(b"t-1")
            case b"h":
                back.append(b"h0")
            case b"l":
                back.append(b"l0")
    tail = b"".join(b" " + word for word in back)
    if request.wants_value:
        return b"VA %d%b\r\n%b\r\n" % (len(data), tail, data)
    return b"HD%b\r\n" % tail


def meta_miss(request: MetaGet) -> bytes:
    """The miss of an ``mg``; nothing in quiet mode."""
    if request.quiet:
        return b""
    back = [
        b"k" + request.shown if flag == b"k" else flag
        for flag in request.flags
        if flag[:1] in (b"O", b"k", b"b")
    ]
    return b"EN" + b"".join(b" " + word for word in back) + b"\r\n"


def stat_lines(stats: dict[str, object]) -> bytes:
    """The reply of ``stats``."""
    return b"".join(f"STAT {name} {stats[name]}\r\n".encode() for name in stats) + END
