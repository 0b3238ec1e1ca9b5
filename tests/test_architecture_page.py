"""Names that pages give in code exist: modules, classes, functions, methods and constants."""

from __future__ import annotations

import ast
import re
from pathlib import Path

from heathwell import policy

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs/architecture.md"
ON_CALL = ROOT / "docs/on-call.md"
DESIGN = ROOT / "docs/design.md"
README = ROOT / "README.md"
MAXIMUM_LINES = 200
MODULE = re.compile(r"heathwell(?:\.\w+)+")
MEMBER = re.compile(r"([A-Z]\w*)(?:\.(\w+))?")
FUNCTION = re.compile(r"[a-z]\w*_\w+")
CONSTANT = re.compile(r"[A-Z][A-Z0-9]*(?:_[A-Z0-9]+)+")
LOG_LINE = re.compile(r"(?:endpoint|discovery) [a-z]+")
NOT_NAMES = frozenset({"GW_CONFIG"})  # a variable of the environment


def code_spans(text: str) -> set[str]:
    """What stands between backticks, outside the drawn figure."""
    without_figure = re.sub(r"```.*?```", "", text, flags=re.S)
    return set(re.findall(r"`([^`\n]+)`", without_figure))


def constants() -> set[str]:
    """All constants of the decision module's files."""
    return {
        target.id
        for path in (ROOT / "heathwell/policy").glob("*.py")
        for node in ast.parse(path.read_text(encoding="utf-8")).body
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    }


def fields() -> set[str]:
    """Names and string values of the decision module's fields and members, and the log lines' fields."""
    names: set[str] = set()
    for path in [*(ROOT / "heathwell/policy").glob("*.py"), ROOT / "heathwell/broker/operator_log.py"]:
        names.add(path.stem)
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                names.add(node.target.id)
            elif isinstance(node, ast.keyword) and node.arg is not None:
                names.add(node.arg)
            elif isinstance(node, ast.ClassDef):
                members = [line for line in node.body if isinstance(line, ast.Assign)]
                names.update(ast.unparse(target) for line in members for target in line.targets)
                values = [line.value for line in members if isinstance(line.value, ast.Constant)]
                names.update(str(value.value) for value in values)
    return names


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
        elif CONSTANT.fullmatch(span):
            found = span in constants() | fields()
        elif match := MEMBER.fullmatch(span):
            found = match[1] in classes and (match[2] is None or match[2] in classes[match[1]])
        elif FUNCTION.fullmatch(span):
            found = span in functions | fields()
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
    assert (
        missing_names("`heathwell.broker.driver` `Driver.kill` `Driver` `tests/test_module_rules.py`") == []
    )


def test_the_on_call_drill_names_only_what_exists():
    text = ON_CALL.read_text(encoding="utf-8")
    assert not missing_names(text)
    drill = text[text.index("## Which lines decide it") : text.index("## Faults")]
    questions = [row for row in drill.splitlines() if row.startswith("| ") and "?" in row]
    assert len(questions) >= 10
    for row in questions:
        spans = re.findall(r"`([^`]+)`", row.split("|")[2])
        assert any(MEMBER.fullmatch(span) and "." in span for span in spans), row


def test_the_on_call_page_carries_the_log_lines_of_today():
    """Each line that the operators' log can have stands in the page's table, and no other."""
    source = (ROOT / "heathwell/broker/operator_log.py").read_text(encoding="utf-8")
    written = set(re.findall(r'"((?:endpoint|discovery) [a-z]+)"', source))
    page = {span for span in code_spans(ON_CALL.read_text(encoding="utf-8")) if LOG_LINE.fullmatch(span)}
    assert len(written) == 3
    assert page == written
    reasons = set(re.findall(r"`reason=(\w+)`", ON_CALL.read_text(encoding="utf-8")))
    assert reasons == {reason.value for reason in policy.EjectionReason}


def test_the_design_page_names_only_what_exists():
    assert not missing_names(DESIGN.read_text(encoding="utf-8"))


OTHER_PAGES = (
    "broker",
    "clients-vector",
    "crossings",
    "evacuation",
    "fleet",
    "freshness",
    "operations",
    "platform",
    "regions",
    "rollout",
    "storms",
    "vector",
)
FILE = re.compile(r"(?:[\w.]+/)+[\w.]*")
METRIC = re.compile(r"heathwell_\w+")


def missing_files_and_metrics(text: str) -> list[str]:
    """Files and metrics that a page names and the project does not have."""
    words = {word for span in code_spans(text) for word in span.split()}
    files = {word for word in words if FILE.fullmatch(word) and word.endswith((".py", ".md", ".sx", "/"))}
    missing = [name for name in files if not ((ROOT / name).exists() or (ROOT / "heathwell" / name).exists())]
    sources = [path.read_text(encoding="utf-8") for path in (ROOT / "heathwell").rglob("*_metrics.py")]
    defined = {name for source in sources for name in re.findall(r'"(heathwell_\w+)"', source)}
    metrics = {match.group() for word in words if (match := METRIC.match(word))}
    missing += [name for name in metrics if name.removesuffix("_total") not in defined]
    return sorted(missing)


def test_the_other_pages_name_only_files_and_metrics_that_exist():
    for name in OTHER_PAGES:
        assert missing_files_and_metrics((ROOT / f"docs/{name}.md").read_text(encoding="utf-8")) == [], name


def test_the_readme_names_only_files_that_exist_and_every_page():
    text = README.read_text(encoding="utf-8")
    assert missing_files_and_metrics(text) == []
    pages = {f"docs/{path.name}" for path in (ROOT / "docs").glob("*.md")}
    assert pages <= code_spans(text)


def test_a_file_or_metric_that_is_gone_is_found():
    present = "`docs/broker.md`, `eventloop/`, `heathwell_queries_total{class}`"
    gone = "`docs/nowhere.md`, `kernel/`, `heathwell_nothing_total{why}`"
    assert missing_files_and_metrics(present) == []
    assert missing_files_and_metrics(gone) == ["docs/nowhere.md", "heathwell_nothing_total", "kernel/"]
