"""Which modules a fresh Python process has loaded after one import, and which of them were forbidden.

A list of forbidden names checks nothing once its modules are renamed: ``missing_modules`` finds that.
"""

from __future__ import annotations

import importlib.util
import subprocess
import sys
from collections.abc import Collection
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_SECONDS = 60


def loaded_modules(module: str) -> set[str]:
    """Import ``module`` in a new process and return the names of all modules that are loaded then."""
    code = f"import sys, {module}; print('\\n'.join(sys.modules))"
    process = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_SECONDS,
        check=True,
    )
    return set(process.stdout.split())


def among(modules: Collection[str], packages: Collection[str]) -> list[str]:
    """Return those of ``modules`` that are one of ``packages`` or lie in one."""
    prefixes = tuple(f"{package}." for package in packages)
    return sorted(name for name in modules if name in packages or name.startswith(prefixes))


def missing_modules(names: Collection[str]) -> list[str]:
    """Return those of ``names`` that can't be imported; a directory without ``__init__.py`` doesn't count."""
    return sorted(name for name in names if not _exists(name))


def _exists(name: str) -> bool:
    try:
        spec = importlib.util.find_spec(name)
    except ModuleNotFoundError:
        return False
    return spec is not None and spec.origin is not None
