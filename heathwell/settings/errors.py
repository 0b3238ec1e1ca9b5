"""The errors of a settings file, with their places."""

from __future__ import annotations

from dataclasses import dataclass

WHOLE_FILE = "file"  # in place of a key


@dataclass(frozen=True, slots=True)
class Where:
    """A place in a file, counted from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault: its place, its key, and what was expected there."""

    file: str
    where: Where
    key: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.where.line}:{self.where.column}: {self.key}: {self.text}"


class SettingsError(Exception):
    """A file that is not valid; ``problems`` holds all faults found, in the order of the file."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class ReadError(SettingsError):
    """A text that is not made of S-expressions; parsing stops at its first fault."""

    def __init__(self, file: str, where: Where, text: str) -> None:
        super().__init__([Problem(file, where, WHOLE_FILE, text)])
