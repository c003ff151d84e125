"""Guards against libraries that the gateway imports and the platform does not install."""

from __future__ import annotations

import ast
import importlib.metadata
import importlib.util
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def imported_modules(module: str) -> set[str]:
    """Return the modules that a module of the package imports, also within functions."""
    spec = importlib.util.find_spec(module)
    if spec is None or spec.origin is None:
        return set()
    names: set[str] = set()
    for node in ast.walk(ast.parse(Path(spec.origin).read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            names.add(node.module)
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


def test_the_libraries_of_the_gateway_are_installed_on_the_platform() -> None:
    pending, seen = ["godwitpath.gateway.__main__"], set()
    while pending:
        module = pending.pop()
        if module in seen:
            continue
        seen.add(module)
        if module.startswith("godwitpath.") and importlib.util.find_spec(module.rpartition(".")[0]):
            try:
                pending.extend(imported_modules(module))
            except ModuleNotFoundError:
                continue  # A name within a module, not a module.
    imported = {module.partition(".")[0] for module in seen}
    locked = {
        line.partition("==")[0]
        for line in (ROOT / "requirements-platform.lock").read_text().splitlines()
    }
    installed = {
        file.parts[0].removesuffix(".py")
        for name in locked
        for file in importlib.metadata.distribution(name).files or []
        if file.parts
    }
    assert imported - installed - set(sys.stdlib_module_names) - {"godwitpath"} == set()
