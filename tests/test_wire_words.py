"""The platform's words stand only in the files that read or write its wire, by a table there.

Words that are ordinary ones of the field as well (``verdict``, ``elapsed``, ``width``) are not listed.
"""

from __future__ import annotations

import ast
import io
import re
import tokenize
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
EDGE_FILES = frozenset(
    {
        "heathwell/benchlink.py",
        "heathwell/codec/nodeframes.py",
        "heathwell/gateway/settings_from_platform.py",
        # Writes the platform's configuration, as the stand-in of the platform.
        "heathwell/testing/simulation/platform_config.py",
    }
)
# Neither in an identifier, between underscores, nor in a string.
WORDS = frozenset(
    {
        "availability",
        "band",
        "ceilings",
        "cmds",
        "customer",
        "fees",
        "invariants",
        "nonce64",
        "quiescing",
        "specifics",
        "void",
        "withdrawn",
        "xid",
    }
)
# Not in a string. Those without a hyphen are identifiers of other meanings elsewhere. The keys that the `.sx`
# settings have under the same name (start-capacity, fall-multiple, further-ratio) are left out.
STRINGS = WORDS | {
    "aim-stretch",
    "class-fetch",
    "class-need",
    "conn-idle-us",
    "connect-timeout-us",
    "counted-over-us",
    "dedup-window-us",
    "drop-request",
    "free-resends",
    "hard-limit-us",
    "inbox",
    "incomplete-worth",
    "instant-us",
    "job-no",
    "journal-line",
    "late-value",
    "marks-retry",
    "members-list",
    "min-share",
    "must-ask-in-us",
    "new-instance",
    "not-before-for-us",
    "not-now",
    "objective-us",
    "open-cap",
    "over-share-worth",
    "parts-a-call",
    "places",
    "power-off",
    "range-no",
    "read_like",
    "registry-mode",
    "second-copies",
    "seq-no",
    "siblings",
    "since-us",
    "size-hint-us",
    "streams-per-conn",
    "tip-after-us",
    "transmit",
    "value-by",
    "warm-keys",
    "warm-within-us",
}
STRING_WORD = re.compile(r"[A-Za-z0-9_]+(?:-[A-Za-z0-9_]+)*")


@dataclass(frozen=True)
class Occurrence:
    """One word of the wire in a file."""

    line: int
    word: str


def identifiers_of(source: str) -> Iterator[Occurrence]:
    """Words within the identifiers of a source, keywords and attributes included."""
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.NAME:
            snake_case = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", token.string).lower()
            for word in WORDS.intersection(snake_case.split("_")):
                yield Occurrence(token.start[0], word)


def strings_of(source: str) -> Iterator[Occurrence]:
    """Words within string and bytes constants without blanks: field names, codes and paths, but not prose."""
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Constant) or not isinstance(node.value, str | bytes):
            continue
        text = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
        if not re.search(r"\s", text):
            for word in STRINGS.intersection(STRING_WORD.findall(text)):
                yield Occurrence(node.lineno, word)


def wire_words_of(path: Path) -> set[Occurrence]:
    """All words of the wire in a file."""
    source = path.read_text()
    return {*identifiers_of(source), *strings_of(source)}


def test_words_of_the_wire_stand_only_at_the_edge():
    found = [
        f"{path.relative_to(ROOT)}:{one.line}: {one.word}"
        for path in sorted((ROOT / "heathwell").rglob("*.py"))
        if str(path.relative_to(ROOT)) not in EDGE_FILES
        for one in sorted(wire_words_of(path), key=lambda one: one.line)
    ]
    assert not found, "\n".join(found)


@pytest.mark.parametrize("name", sorted(EDGE_FILES))
def test_an_exempted_file_exists_and_is_no_empty_exemption(name):
    assert (ROOT / name).is_file()
    assert name == "heathwell/codec/nodeframes.py" or wire_words_of(ROOT / name)


@pytest.mark.parametrize(
    ("source", "word"),
    [
        ("xid = 1", "xid"),
        ("def on_quiescing(): ...", "quiescing"),
        ("class FeesTable: ...", "fees"),
        ("import json as band", "band"),
        ("def read(node, *, withdrawn): ...", "withdrawn"),
        ("call(availability=1)", "availability"),
        ("query.customer_id = 1", "customer"),
        ("state = 'quiescing'", "quiescing"),
        ("value = table['places']", "places"),
        ("value = {'members-list': []}", "members-list"),
        ("value = f'settings.ceilings.{field}'", "ceilings"),
        ("name = b'seq-no'", "seq-no"),
        ("match state:\n    case 'void':\n        pass", "void"),
    ],
)
def test_a_planted_word_is_found(tmp_path, source, word):
    planted = tmp_path / "planted.py"
    planted.write_text(source + "\n")
    assert word in {one.word for one in wire_words_of(planted)}


@pytest.mark.parametrize(
    "source",
    [
        "places = []",
        "husband = 1",
        "text = 'no answer is void of a reason'",
        "avoid = 'band-width'",
        "# quiescing",
    ],
)
def test_ordinary_words_and_prose_are_not_found(tmp_path, source):
    planted = tmp_path / "planted.py"
    planted.write_text(source + "\n")
    assert not wire_words_of(planted)
