"""Settings of logs."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from heathwell.settings.records.base import NAME, Record, described, repeated


class ModuleLevel(Record):
    """The log level of one package."""

    name: Annotated[str, NAME]
    level: Annotated[Literal["debug", "info", "warning", "error"], Meta(extra={"positional": True})] = "info"


class Log(Record):
    """Level and format of the logs."""

    level: Annotated[Literal["debug", "info", "warning", "error"], described("least level written")] = "info"
    format: Annotated[Literal["json", "console"], described("form of a line")] = "console"
    modules: Annotated[list[ModuleLevel], repeated("module", "levels of single packages")] = []
