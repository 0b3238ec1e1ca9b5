"""Settings: records from S-expressions, and every error with its place."""

from __future__ import annotations

from pathlib import Path

import pytest

from heathwell.settings import SettingsError, load, loads, schema_page

ROOT = Path(__file__).parent.parent
GOOD = (ROOT / "examples/market.sx").read_text()


def problems(text: str) -> list[str]:
    with pytest.raises(SettingsError) as caught:
        loads(text, "f.sx")
    return str(caught.value).splitlines()


def test_the_example_reads_with_its_units():
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
    ("change", "said"),
    [
        (("(aim 1s)", "(aim 1)"), "f.sx:4:3: class[0].aim: must be"),
        (("(aim 1s)", "(aim 1)"), ""),
        (("(aim 1s)", "(aim fast)"), "class[0].aim: a time with its unit"),
        (("(aim 1s)", "(amin 1s)"), "did you mean 'aim'?"),
        (("(need 75%)", "(need 175%)"), "must be at most 1"),
        (("(repeat keyed)", "(repeat keyd)"), "one of keyed, safe, unsafe expected, got 'keyd'"),
        (("(aim 1s)", "(aim 1s) (aim 2s)"), "given twice"),
        (("(aim 1s) (limit 2s)", "(aim 3s) (limit 2s)"), "lies before the aim"),
        (("(fleet", "(flet"), "fleet: is missing"),
        (("(cells 12)", "(cells 2)"), "more holders than the 2 cells"),
        (("(class sale-record)", "(class sales)"), "no class 'sales'"),
        (("(slots 4)", "(slots 4.5)"), "a whole number expected"),
        (("(second-copies no)", "(second-copies maybe)"), "yes or no expected"),
        (("(log", "(log stray"), "is out of place"),
        (("(must-ask 10s)", "(must-ask 1s)"), "at least twice discovery's timeout"),
    ],
)
def test_an_error_names_file_place_key_and_what_was_expected(change, said):
    assert change[0] in GOOD
    lines = problems(GOOD.replace(*change, 1))
    if said.startswith("f.sx:4:3"):
        assert lines[0].startswith("f.sx:4:8: class[0].aim: a time with its unit")
        return
    assert all(line.startswith("f.sx:") and line.split(":")[1].isdigit() for line in lines)
    assert said in "\n".join(lines)


def test_all_errors_of_a_file_come_in_one_go_in_its_order():
    lines = problems(
        GOOD.replace("(aim 1s)", "(aim 1)").replace("(slots 4)", "(slots x)").replace("(width 3)", "")
    )
    assert len(lines) == 3
    assert [line.split(": ")[1] for line in lines] == ["class[0].aim", "fleet.width", "leaf.slots"]


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("(class a (aim 1s)", "1:1: file: this bracket is never closed"),
        ("(log))", "1:6: file: a closing bracket too many"),
        ('(log (level "info))', "a string that does not end on its line"),
        ("stray", "'stray' outside brackets"),
        ("(" * 30 + ")" * 30, "nested more than"),
    ],
)
def test_text_that_does_not_parse_names_the_place(text, said):
    assert said in problems(text)[0]


def test_the_page_of_settings_is_the_one_made_from_the_records():
    assert (ROOT / "docs/settings.md").read_text() == schema_page()
