"""Rules on the imports of a package: no cycles, and no import against a table of layers."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass

from .import_scan import ModuleImport


@dataclass(frozen=True)
class LayerRule:
    """What a package may import, beside its own modules: the modules and packages with the given names."""

    prefix: str
    allowed: tuple[str, ...] = ()

    def permits(self, imported: str) -> bool:
        """Whether a module of the package may import another module."""
        return any(is_within(imported, prefix) for prefix in (self.prefix, *self.allowed))


@dataclass(frozen=True)
class ImportCycle:
    """Modules that reach each other by imports, and the imports among them."""

    modules: tuple[str, ...]
    imports: tuple[ModuleImport, ...]

    def describe(self) -> str:
        """The modules and, line by line, the imports."""
        lines = [f"cycle of {', '.join(self.modules)}"]
        lines += [f"  {module_import.describe()}" for module_import in self.imports]
        return "\n".join(lines)


def find_cycles(imports: Iterable[ModuleImport]) -> tuple[ImportCycle, ...]:
    """The groups of modules that reach each other; a module that imports itself is a group too."""
    edges = tuple(imports)
    targets: dict[str, set[str]] = {}
    for edge in edges:
        targets.setdefault(edge.importer, set()).add(edge.imported)
    reached = {module: frozenset(reachable(module, targets)) for module in targets}
    groups = {
        tuple(sorted(other for other in reached[module] if module in reached.get(other, ())))
        for module in targets
        if module in reached[module]
    }
    return tuple(ImportCycle(group, tuple(imports_within(group, edges))) for group in sorted(groups))


def reachable(start: str, targets: dict[str, set[str]]) -> set[str]:
    """The modules that a module imports, directly or through others."""
    found: set[str] = set()
    pending = [start]
    while pending:
        new = targets.get(pending.pop(), set()) - found
        found |= new
        pending += new
    return found


def imports_within(modules: Collection[str], imports: Iterable[ModuleImport]) -> Iterator[ModuleImport]:
    """The imports of which both ends are among the modules."""
    return (edge for edge in imports if edge.importer in modules and edge.imported in modules)


def is_within(module: str, prefix: str) -> bool:
    """Whether a module is the named module or package, or inside of it; the top package is just itself."""
    is_top_package = "." not in prefix
    return module == prefix or (not is_top_package and module.startswith(f"{prefix}."))


def rule_of(module: str, rules: Iterable[LayerRule]) -> LayerRule | None:
    """The rule with the longest prefix of a module, if there is one."""
    matching = [rule for rule in rules if is_within(module, rule.prefix)]
    return max(matching, key=lambda rule: len(rule.prefix), default=None)


def modules_without_rule(modules: Iterable[str], rules: Sequence[LayerRule]) -> tuple[str, ...]:
    """The modules that no rule is about."""
    return tuple(module for module in modules if rule_of(module, rules) is None)


def find_layer_violations(
    imports: Iterable[ModuleImport], rules: Sequence[LayerRule]
) -> tuple[ModuleImport, ...]:
    """The imports that the rule of the importer doesn't permit; without a rule none is permitted."""
    violations: list[ModuleImport] = []
    for module_import in imports:
        rule = rule_of(module_import.importer, rules)
        if rule is None or not rule.permits(module_import.imported):
            violations.append(module_import)
    return tuple(violations)


def upward_permissions(rules: Sequence[LayerRule]) -> tuple[str, ...]:
    """What a table that is ordered from the bottom to the top permits although it isn't further down."""
    upward: list[str] = []
    lower: set[str] = set()
    for rule in rules:
        upward += [f"{rule.prefix} -> {allowed}" for allowed in rule.allowed if allowed not in lower]
        lower.add(rule.prefix)
    return tuple(upward)
