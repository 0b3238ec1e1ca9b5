"""Configuration of structlog: JSON or console lines on standard error, with a level per package."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from typing import Final

import structlog
from structlog.typing import Processor

from heathwell.settings.schema import Log

LEVELS: Final = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
# Present names by former names, which settings may still use.
FORMER_PACKAGES: Final = {"heathwell.kernel": "heathwell.eventloop"}
Logger = Callable[..., None]
LoggerFactory = Callable[..., Logger]


def configure_logging(log: Log) -> LoggerFactory:
    """Configure structlog and return a factory of loggers, each called as ``log(level, text, **fields)``.

    The factory takes the name of a package, whose level comes from ``log``, and fields to add to every line.
    """
    _configure_structlog(log.format)
    package_levels = {
        FORMER_PACKAGES.get(entry.name, entry.name): LEVELS[entry.level] for entry in log.modules
    }

    def _make_logger(package: str, **bound_fields: object) -> Logger:
        logger = structlog.get_logger().bind(module=package, **bound_fields)
        threshold = _package_level(package, package_levels, LEVELS[log.level])

        def _write(level: str, text: str, **fields: object) -> None:
            if LEVELS[level] >= threshold:
                getattr(logger, level)(text, **fields)

        return _write

    return _make_logger


def _configure_structlog(log_format: str) -> None:
    renderer: Processor = (
        structlog.processors.JSONRenderer()
        if log_format == "json"
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


def _package_level(package: str, package_levels: dict[str, int], default: int) -> int:
    """Return the level of the package or of its nearest parent that has one."""
    name = package
    while name:
        if name in package_levels:
            return package_levels[name]
        name = name.rpartition(".")[0]
    return default
