"""Imports run one way: each package knows those below it, and fronts and deliveries never each other."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "loftrelay"
MAY_IMPORT = {
    "net": set[str](),
    "settings": set[str](),
    "state": set[str](),
    "figures": set[str](),
    "core": {"net", "figures"},
    "journal": {"core"},
    "record": {"core", "settings"},
    "demo": set[str](),
    "commands": {"record", "registry", "demo", "settings", "net"},
    "registry": {"net", "settings"},
    "membership": {"core", "net", "registry", "settings"},
    "delivery": {"core", "net", "settings"},
    "fronts": {"core", "net", "figures"},
    "upgrade": {"core", "net", "journal"},
    "fleet": {"net", "settings"},
    "lab": {"fleet", "net"},
}  # besides themselves and mulleinlead
PURE = {
    "delivery/pools.py",
    "record/rules.py",
    "core/parking.py",
    "core/ports.py",
    "core/pulse.py",
    "core/message.py",
    "core/life.py",
    "core/last_phase.py",
    "core/terms.py",
    "core/handover.py",
    "upgrade/rules.py",
    "figures/registry.py",
    "fronts/control/protocol.py",
    "settings/platform.py",
    "fleet/membership.py",
    "fleet/spread.py",
    "fleet/verdicts.py",
    "fleet/wire.py",
    "lab/links.py",
    "membership/interest.py",
    "registry/protocol.py",
    "registry/listing.py",
    "registry/catalog.py",
    "registry/subscriptions.py",
}
INPUT_OUTPUT = {"asyncio", "socket", "os", "select", "time", "pathlib", "threading", "subprocess"}


def imports(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("package", MAY_IMPORT)
def test_a_package_imports_only_those_below_it(package: str) -> None:
    files = list((ROOT / package).rglob("*.py"))
    assert files
    for path in files:
        parts = {name.split(".")[1] for name in imports(path) if name.startswith("loftrelay.")}
        assert parts <= MAY_IMPORT[package] | {package}, path


def test_each_package_tells_its_one_job() -> None:
    for path in ROOT.rglob("*.py"):
        assert ast.get_docstring(ast.parse(path.read_text())), path


def test_what_decides_does_no_input_or_output() -> None:
    files = [*ROOT.parent.glob("mulleinlead/*.py"), *(ROOT / name for name in PURE)]
    for path in files:
        if path.name != "adapter.py":
            assert not imports(path) & INPUT_OUTPUT, path
