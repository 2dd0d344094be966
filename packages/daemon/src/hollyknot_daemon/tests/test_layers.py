"""Tests of which packages and modules each layer may import."""

import ast
import pathlib
from collections.abc import Iterator

import pytest

_PACKAGES = pathlib.Path(__file__).parents[4]
_ALLOWED = {
    "state": set(),
    "coordination": {"state"},
    "protocol": {"state"},
    "transport": {"state", "coordination", "protocol"},
    "gateway": {"state", "coordination", "protocol"},
    "daemon": {"state", "coordination", "protocol", "transport"},
    "ctl": {"state", "coordination", "protocol", "transport"},
    "standins": set(),
}
_NOT_IN_COORDINATION = {"asyncio", "aiohttp", "time", "socket", "uvloop"}
_PROCESS_MODULES = {"subprocess", "multiprocessing"}


def _imports(package: str) -> Iterator[tuple[pathlib.Path, str]]:
    for path in (_PACKAGES / package / "src").rglob("*.py"):
        if "tests" in path.parts or "gen" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                for alias in node.names:
                    yield path, alias.name
            elif isinstance(node, ast.ImportFrom):
                yield path, node.module or ""


class TestLayers:
    """Each package imports only what its layer allows."""

    @pytest.mark.parametrize("package", sorted(_ALLOWED))
    def test_package_imports_allowed_layers_only(self, package: str) -> None:
        allowed = {f"hollyknot_{n}" for n in _ALLOWED[package] | {package}}
        found = list(_imports(package))
        assert found
        violations = [
            (path.name, name)
            for path, name in found
            if name.startswith("hollyknot_")
            and name.split(".")[0] not in allowed
        ]
        assert violations == []

    def test_coordination_imports_no_loop_socket_or_clock(self) -> None:
        violations = [
            (path.name, name)
            for path, name in _imports("coordination")
            if name.split(".")[0] in _NOT_IN_COORDINATION
        ]
        assert violations == []

    @pytest.mark.parametrize("package", sorted(_ALLOWED))
    def test_no_package_starts_a_process(self, package: str) -> None:
        violations = [
            (path.name, name)
            for path, name in _imports(package)
            if name.split(".")[0] in _PROCESS_MODULES
        ]
        assert violations == []
