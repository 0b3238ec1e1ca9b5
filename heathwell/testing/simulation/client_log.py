"""The event log of a population of clients. The names of its fields are an interface of the audit."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Final

import msgspec

POPULATION: Final = "clients"
CLIENT_ROLE: Final = "client"
NS_PER_US: Final = 1000


class ReplyKind(StrEnum):
    """How a request ended, as the log has it."""

    ANSWER = "answer"
    TIMEOUT = "timeout"
    BROKEN = "broken"


class LostKind(StrEnum):
    """Why a key has no answer, as the log has it."""

    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class RequestId:
    """Names of a request: ``wire_id`` as the broker logs it too, ``number`` among those of its client."""

    wire_id: str
    number: str

    def log_fields(self) -> dict[str, str]:
        """Return the names as fields of an event."""
        return {"req": self.wire_id, "no": self.number}


class AnsweredKey(
    msgspec.Struct,
    frozen=True,
    rename={"complete": "whole", "answered_parts": "got", "requested_parts": "asked"},
):
    """A key with an answer; a search states neither its requested parts nor an age."""

    key: str
    complete: bool
    answered_parts: int
    requested_parts: int | msgspec.UnsetType = msgspec.UNSET
    age_ms: float | None | msgspec.UnsetType = msgspec.UNSET


class LostKey(msgspec.Struct, frozen=True):
    """A key without an answer."""

    key: str
    kind: LostKind


class ClientLog:
    """Writes events as lines of JSON, from any thread; without a path it only counts requests."""

    def __init__(self, path: str | Path | None) -> None:
        self.request_count = 0
        self._lock = threading.Lock()
        self._file = Path(path).open("w") if path else None  # noqa: SIM115  # closed by `close`

    def record_start(self) -> None:
        """Log the start of the population."""
        self._write("opened", POPULATION, role=CLIENT_ROLE)

    def record_request(
        self, client: str, request: RequestId, keys: Iterable[str], broker: str, timeout_us: int
    ) -> None:
        """Log a request that is about to be sent."""
        with self._lock:
            self.request_count += 1
        self._write("ask", client, **request.log_fields(), keys=keys, broker=broker, limit=timeout_us)

    def record_answer(
        self, client: str, request: RequestId, answered: list[AnsweredKey], lost: list[LostKey]
    ) -> None:
        """Log a reply: the keys with an answer, and those without."""
        self._write(
            "reply",
            client,
            **request.log_fields(),
            kind=ReplyKind.ANSWER,
            values=msgspec.to_builtins(answered),
            lost=msgspec.to_builtins(lost),
        )

    def record_timeout(self, client: str, request: RequestId) -> None:
        """Log a request whose reply did not come in time."""
        self._write("reply", client, **request.log_fields(), kind=ReplyKind.TIMEOUT)

    def record_broken(self, client: str, request: RequestId, error: Exception) -> None:
        """Log a request whose connection broke, or whose reply was malformed."""
        self._write("reply", client, **request.log_fields(), kind=ReplyKind.BROKEN, text=repr(error))

    def close(self) -> None:
        """Log the end of the population and close the file; later events are dropped."""
        self._write("closed", POPULATION)
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None

    def _write(self, event: str, who: str, **fields: object) -> None:
        now_us = time.monotonic_ns() // NS_PER_US
        line = json.dumps({"t": now_us, "who": who, "ev": event, **fields}) + "\n"
        with self._lock:
            if self._file is not None:
                self._file.write(line)
