"""Processes of this program that an experiment starts."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Sequence
from typing import Final

from heathwell.testing.simulation.errors import MemberStartError

START_TIMEOUT_SECONDS: Final = 30.0
"""After which a process that closed its output without a ready line is given up."""


def start_command(arguments: Sequence[str], stderr: int | None = None) -> subprocess.Popen[str]:
    """Start a command of this program and return its process, whose standard output is a pipe of text.

    The process has a session of its own, so that signals to the caller's terminal do not reach it. ``stderr``
    is as for :class:`subprocess.Popen`.
    """
    return subprocess.Popen(
        [sys.executable, "-m", "heathwell", *arguments],
        stdout=subprocess.PIPE,
        stderr=stderr,
        stdin=subprocess.DEVNULL,
        text=True,
        start_new_session=True,
        env={**os.environ, "PYTHONUNBUFFERED": "1"},
    )


def run_command(arguments: Sequence[str], timeout_seconds: float) -> subprocess.CompletedProcess[bytes]:
    """Run a command of this program to its end; its output and exit code are in the result."""
    return subprocess.run(
        [sys.executable, "-m", "heathwell", *arguments],
        capture_output=True,
        timeout=timeout_seconds,
        check=False,
    )


def read_ready_line(process: subprocess.Popen[str], name: str) -> str:
    """Return the line that a process prints once it serves.

    Raise :class:`MemberStartError` with this name where the process ends without one.
    """
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        raise MemberStartError(name, process.wait(START_TIMEOUT_SECONDS))
    return line


def wait_or_kill(process: subprocess.Popen[str], timeout_seconds: float) -> int:
    """Return the exit code; a process that does not end in time is killed."""
    try:
        return process.wait(timeout_seconds)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
