"""Reads the imports among the modules of a package from their syntax trees, without importing any of them.

Importing a module also runs the ``__init__`` of the packages around it. Such implied imports are left out:
they would make a cycle of each package whose ``__init__`` re-exports names of its modules. Imports by a
computed name (``importlib``) are not seen.
"""

from __future__ import annotations

import ast
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path


class ImportKind(StrEnum):
    """When an import runs."""

    MODULE_LEVEL = "module level"
    TYPE_CHECKING = "TYPE_CHECKING"
    DEFERRED = "in a function"


@dataclass(frozen=True)
class ModuleImport:
    """One module of the package imports another."""

    importer: str
    imported: str
    kind: ImportKind
    path: str
    line: int

    def describe(self) -> str:
        """The import with its place, on one line."""
        return f"{self.path}:{self.line}: {self.importer} imports {self.imported} ({self.kind.value})"


@dataclass(frozen=True)
class PackageScan:
    """The modules of a package and the imports among them, in the order of their files and lines."""

    modules: tuple[str, ...]
    imports: tuple[ModuleImport, ...]


class ImportVisitor(ast.NodeVisitor):
    """Collects the imports of one module."""

    def __init__(self, module: str, package: str, path: str, known_modules: Collection[str]) -> None:
        self.module = module
        self.package = package
        self.path = path
        self.known_modules = known_modules
        self.kind = ImportKind.MODULE_LEVEL
        self.imports: list[ModuleImport] = []

    def visit_Import(self, node: ast.Import) -> None:
        """Record ``import a.b``."""
        for alias in node.names:
            self._record(alias.name, node.lineno)

    def visit_ImportFrom(self, node: ast.ImportFrom) -> None:
        """Record ``from a import b``, where ``b`` is a module or a name of the module ``a``."""
        source = self._absolute_source(node)
        for alias in node.names:
            submodule = f"{source}.{alias.name}"
            self._record(submodule if submodule in self.known_modules else source, node.lineno)

    def visit_FunctionDef(self, node: ast.FunctionDef) -> None:
        """Imports in a function run when it is called."""
        self._visit_as(ImportKind.DEFERRED, [node])

    def visit_AsyncFunctionDef(self, node: ast.AsyncFunctionDef) -> None:
        """Imports in a coroutine run when it is awaited."""
        self._visit_as(ImportKind.DEFERRED, [node])

    def visit_If(self, node: ast.If) -> None:
        """Imports under ``if TYPE_CHECKING`` never run; its ``else`` branch does."""
        if not is_type_checking(node.test):
            self.generic_visit(node)
            return
        self._visit_as(ImportKind.TYPE_CHECKING, node.body)
        for statement in node.orelse:
            self.visit(statement)

    def _visit_as(self, kind: ImportKind, nodes: Iterable[ast.AST]) -> None:
        outer_kind = self.kind
        self.kind = kind
        for node in nodes:
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                self.generic_visit(node)
            else:
                self.visit(node)
        self.kind = outer_kind

    def _absolute_source(self, node: ast.ImportFrom) -> str:
        if node.level == 0:
            return node.module or ""
        parents = self.package.split(".")
        base = parents[: len(parents) - (node.level - 1)]
        return ".".join([*base, node.module] if node.module else base)

    def _record(self, imported: str, line: int) -> None:
        if imported in self.known_modules:
            self.imports.append(ModuleImport(self.module, imported, self.kind, self.path, line))


def is_type_checking(test: ast.expr) -> bool:
    """Whether a condition is ``TYPE_CHECKING`` or ``typing.TYPE_CHECKING``."""
    match test:
        case ast.Name(id="TYPE_CHECKING") | ast.Attribute(attr="TYPE_CHECKING"):
            return True
        case _:
            return False


def scan_package(directory: Path) -> PackageScan:
    """Scan the package in a directory; the paths in the result are relative to the directory's parent."""
    root = directory.parent
    files = {module_name(root, path): path for path in sorted(directory.rglob("*.py"))}
    imports: list[ModuleImport] = []
    for module, path in files.items():
        package = module if path.name == "__init__.py" else module.rpartition(".")[0]
        visitor = ImportVisitor(module, package, path.relative_to(root).as_posix(), files)
        visitor.visit(ast.parse(path.read_text(encoding="utf-8"), filename=str(path)))
        imports += dict.fromkeys(visitor.imports)  # one a line, whatever the number of names
    return PackageScan(tuple(files), tuple(imports))


def module_name(root: Path, path: Path) -> str:
    """The dotted name of the module in a file."""
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
