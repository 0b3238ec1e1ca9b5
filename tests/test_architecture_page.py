"""Names that docs/architecture.md gives in code exist: modules, classes, functions and methods."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/architecture.md"
MAXIMUM_LINES = 200
MODULE = re.compile(r"heathwell(?:\.\w+)+")
MEMBER = re.compile(r"([A-Z]\w*)(?:\.(\w+))?")
FUNCTION = re.compile(r"[a-z]\w*_\w+")
NOT_NAMES = frozenset({"GW_CONFIG"})  # a variable of the environment


def code_spans(text: str) -> set[str]:
    """What stands between backticks, outside the drawn figure."""
    without_figure = re.sub(r"```.*?```", "", text, flags=re.S)
    return set(re.findall(r"`([^`\n]+)`", without_figure))


def definitions() -> tuple[dict[str, set[str]], set[str]]:
    """Each class of heathwell with the names defined in it, and all functions of modules."""
    classes: dict[str, set[str]] = {}
    functions: set[str] = set()
    for path in (ROOT / "heathwell").rglob("*.py"):
        for node in ast.parse(path.read_text(encoding="utf-8")).body:
            if isinstance(node, ast.ClassDef):
                members = classes.setdefault(node.name, set())
                members.update(one.name for one in node.body if isinstance(one, ast.FunctionDef))
            elif isinstance(node, ast.FunctionDef):
                functions.add(node.name)
    return classes, functions


def module_exists(name: str) -> bool:
    path = ROOT / name.replace(".", "/")
    return path.with_suffix(".py").exists() or (path / "__init__.py").exists()


def missing_names(text: str) -> list[str]:
    """Names of the page that nothing in heathwell has."""
    classes, functions = definitions()
    missing = []
    for span in sorted(code_spans(text) - NOT_NAMES):
        if MODULE.fullmatch(span):
            found = module_exists(span)
        elif match := MEMBER.fullmatch(span):
            found = match[1] in classes and (match[2] is None or match[2] in classes[match[1]])
        elif FUNCTION.fullmatch(span):
            found = span in functions
        elif span.startswith(("tests/", "docs/", "heathwell/")):
            found = (ROOT / span).exists()
        else:
            continue
        if not found:
            missing.append(span)
    return missing


def test_the_page_names_only_what_exists():
    assert not missing_names(PAGE.read_text(encoding="utf-8"))


def test_the_page_is_short_and_names_enough_to_be_worth_checking():
    text = PAGE.read_text(encoding="utf-8")
    assert len(text.splitlines()) <= MAXIMUM_LINES
    assert len([span for span in code_spans(text) if MODULE.fullmatch(span) or MEMBER.fullmatch(span)]) > 50


def test_a_name_that_is_gone_is_found():
    gone = "`heathwell.nowhere` `Nobody` `Driver.nothing` `no_such_function` `tests/test_nothing.py`"
    assert len(missing_names(gone)) == 5
    assert missing_names("`heathwell.broker.driver` `Driver.kill` `Driver` `tests/test_rules.py`") == []
