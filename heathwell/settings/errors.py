"""Errors of a settings file, with their locations."""

from __future__ import annotations

from dataclasses import dataclass

WHOLE_FILE = "file"  # stands for the key in errors that concern no single key


@dataclass(frozen=True, slots=True)
class SourceLocation:
    """A location in a file; line and column are counted from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Problem:
    """One error: its location, the path of its key, and the message."""

    file: str
    location: SourceLocation
    key: str
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.location.line}:{self.location.column}: {self.key}: {self.text}"


class SettingsError(Exception):
    """An invalid file; ``problems`` holds all errors found, in the order of the file."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class ReadError(SettingsError):
    """A text that does not parse as S-expressions; it holds the first error only."""

    def __init__(self, file: str, location: SourceLocation, text: str) -> None:
        super().__init__([Problem(file, location, WHOLE_FILE, text)])
