"""Structured logs by structlog: JSON or console on standard error, a level for each package."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Any

import structlog

from heathwell.settings.schema import Log

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}
# Settings may name a package as it was called before.
FORMER_PACKAGES = {"heathwell.kernel": "heathwell.eventloop"}
Logger = Callable[..., None]
Maker = Callable[..., Logger]


def set_up(log: Log) -> Maker:
    """Configure logging; returns a maker of loggers, each called as ``log(level, text, **fields)``."""
    least = {FORMER_PACKAGES.get(entry.name, entry.name): LEVELS[entry.level] for entry in log.modules}
    renderer: Any = (
        structlog.processors.JSONRenderer()
        if log.format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )

    def level_of(name: str) -> int:
        while name:
            if name in least:
                return least[name]
            name = name.rpartition(".")[0]
        return LEVELS[log.level]

    def make(package: str, **bound: Any) -> Logger:
        logger, threshold = structlog.get_logger().bind(module=package, **bound), level_of(package)

        def write(level: str, text: str, **fields: Any) -> None:
            if LEVELS[level] >= threshold:
                getattr(logger, level)(text, **fields)

        return write

    return make
