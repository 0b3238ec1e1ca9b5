"""Settings: records read from S-expressions, and errors that name their place."""

from __future__ import annotations

from pathlib import Path

import pytest

from heathwell.settings import SettingsError, load, loads, schema_page

ROOT = Path(__file__).parent.parent
EXAMPLE = (ROOT / "examples/market.sx").read_text()


def problems(text: str) -> list[str]:
    """Return the error messages of a settings text, one per line."""
    with pytest.raises(SettingsError) as caught:
        loads(text, "f.sx")
    return str(caught.value).splitlines()


def test_values_of_the_example_are_read_by_their_units():
    service_settings = load(ROOT / "examples/market.sx")
    price = service_settings.classes[0]
    assert (price.name, price.latency_objective_us, price.required_fraction, price.priority_weight) == (
        "price-search",
        1_000_000,
        0.75,
        2.0,
    )
    assert (
        service_settings.keys[0].query_class == "sale-record"
        and service_settings.log.modules[0].level == "warning"
    )


@pytest.mark.parametrize(
    ("edit", "message"),
    [
        (
            ("(aim 1s)", "(aim 1)"),
            "f.sx:4:8: class[0].aim: a time with its unit (us ms s m h d) expected, got '1'",
        ),
        (("(aim 1s)", "(aim fast)"), "class[0].aim: a time with its unit"),
        (("(aim 1s)", "(amin 1s)"), "did you mean 'aim'?"),
        (("(need 75%)", "(need 175%)"), "must be at most 1"),
        (("(repeat keyed)", "(repeat keyd)"), "one of keyed, safe, unsafe expected, got 'keyd'"),
        (("(aim 1s)", "(aim 1s) (aim 2s)"), "given twice"),
        (("(aim 1s) (limit 2s)", "(aim 3s) (limit 2s)"), "class[0].limit: must be at least aim (3s), got 2s"),
        (("(fleet", "(flet"), "fleet: is missing"),
        (("(cells 12)", "(cells 2)"), "fleet.width: must be at most fleet.cells (2), got 3"),
        (("(class sale-record)", "(class sales)"), "no class 'sales'"),
        (("(slots 4)", "(slots 4.5)"), "a whole number expected"),
        (("(second-copies no)", "(second-copies maybe)"), "yes or no expected"),
        (("(log", "(log stray"), "is out of place"),
        (
            ("(must-ask 10s)", "(must-ask 1s)"),
            "rules.must-ask: must be at least twice discovery.timeout (2s), got 1s",
        ),
    ],
)
def test_an_error_names_file_place_key_and_what_was_expected(edit, message):
    assert edit[0] in EXAMPLE
    lines = problems(EXAMPLE.replace(*edit, 1))
    assert all(line.startswith("f.sx:") and line.split(":")[1].isdigit() for line in lines)
    assert message in "\n".join(lines)


def test_all_errors_of_a_file_are_reported_together_in_its_order():
    lines = problems(
        EXAMPLE.replace("(aim 1s)", "(aim 1)").replace("(slots 4)", "(slots x)").replace("(width 3)", "")
    )
    assert len(lines) == 3
    assert [line.split(": ")[1] for line in lines] == ["class[0].aim", "fleet.width", "leaf.slots"]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("(class a (aim 1s)", "1:1: file: this bracket is never closed"),
        ("(log))", "1:6: file: a closing bracket too many"),
        ('(log (level "info))', "a string that does not end on its line"),
        ("stray", "'stray' outside brackets"),
        ("(" * 30 + ")" * 30, "nested more than"),
    ],
)
def test_an_error_of_the_syntax_names_its_place(text, message):
    assert message in problems(text)[0]


def test_the_page_of_settings_is_generated_from_the_records():
    assert (ROOT / "docs/settings.md").read_text() == schema_page()
