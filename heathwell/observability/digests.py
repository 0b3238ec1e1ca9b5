"""Digests that name a program tree and a settings file, to tell versions of a broker apart."""

from __future__ import annotations

import hashlib
from pathlib import Path


def program_digest(package: Path) -> str:
    """What names a program tree: its sources, by name and content."""
    whole = hashlib.sha256()
    for path in sorted(package.rglob("*.py")):
        whole.update(str(path.relative_to(package)).encode() + b"\0" + path.read_bytes() + b"\0")
    return whole.hexdigest()[:16]


def settings_digest(path: str | Path) -> str:
    """What names a settings file."""
    return hashlib.sha256(Path(path).read_bytes()).hexdigest()[:12]
