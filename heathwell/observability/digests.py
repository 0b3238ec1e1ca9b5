"""Digests of a program tree and of a settings file, which identify the version that a broker runs."""

from __future__ import annotations

import hashlib
from pathlib import Path


def program_digest(package: Path) -> str:
    """Return a digest of the names and contents of a package's source files."""
    digest = hashlib.sha256()
    for path in sorted(package.rglob("*.py")):
        digest.update(str(path.relative_to(package)).encode() + b"\0" + path.read_bytes() + b"\0")
    return digest.hexdigest()[:16]


def settings_digest(path: str | Path) -> str:
    """Return a digest of a settings file's content."""
    return hashlib.sha256(Path(path).read_bytes()).hexdigest()[:12]
