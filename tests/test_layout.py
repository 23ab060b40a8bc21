"""Import rules and size limits: imports run one way, and server and delivery never import each other."""

from __future__ import annotations

import ast
import gc
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "loftrelay"
ALLOWED_IMPORTS = {
    "net": {"tasks"},
    "tasks": set[str](),
    "config": {"decisions", "net", "state"},
    "state": set[str](),
    "metrics": set[str](),
    "memory": set[str](),
    "decisions": set[str](),
    "relay": {"decisions", "net", "metrics", "memory"},
    "journal": {"decisions", "relay"},
    "store": {"decisions", "relay", "config", "tasks"},
    "demo": {"store"},
    "cli": {"store", "registry", "demo", "config", "net", "service", "delivery", "discovery", "gossip"},
    "registry": {"net", "config", "tasks"},
    "discovery": {"decisions", "relay", "net", "registry", "config", "tasks"},
    "delivery": {"decisions", "relay", "net", "config", "tasks"},
    "server": {"decisions", "relay", "net", "metrics", "memory", "tasks"},
    "upgrade": {"relay", "net", "journal", "tasks"},
    "gossip": {"net", "config"},
    "simulation": {"gossip", "net"},
}  # besides the package itself; `service` may import all
PURE_MODULES = {
    "journal/records.py",
    "journal/index.py",
    "delivery/recent_responses.py",
    "delivery/connection_pool/actions.py",
    "delivery/connection_pool/allocator.py",
    "delivery/connection_pool/connect_limits.py",
    "delivery/connection_pool/connection.py",
    "delivery/connection_pool/eviction.py",
    "delivery/connection_pool/host.py",
    "delivery/connection_pool/idle_reset.py",
    "delivery/connection_pool/manager.py",
    "delivery/connection_pool/prewarm.py",
    "delivery/connection_pool/selection.py",
    "delivery/connection_pool/settings.py",
    "delivery/connection_pool/table.py",
    "delivery/connection_pool/trust.py",
    "store/state_machine.py",
    "relay/pending_submissions.py",
    "relay/ports.py",
    "relay/statuses.py",
    "relay/events.py",
    "relay/stall_detector.py",
    "relay/message.py",
    "relay/message_state.py",
    "relay/shutdown_schedule.py",
    "relay/message_terms.py",
    "relay/handover_state.py",
    "upgrade/state_machine.py",
    "metrics/counters.py",
    "memory/account.py",
    "upgrade/messages.py",
    "server/admin/protocol.py",
    "server/http/connection_state.py",
    "server/http/connection_table.py",
    "server/http/received_bytes.py",
    "server/http/request_memory.py",
    "server/http/exchange.py",
    "server/http/request.py",
    "config/validation.py",
    "config/resource_limits.py",
    "gossip/swim.py",
    "gossip/swim_config.py",
    "gossip/messages.py",
    "gossip/actions.py",
    "gossip/lifeguard.py",
    "gossip/member_table.py",
    "gossip/local_member.py",
    "gossip/probes.py",
    "gossip/broadcast_queue.py",
    "gossip/operator_overrides.py",
    "gossip/codec.py",
    "simulation/fleet.py",
    "discovery/change_batch.py",
    "discovery/destination_table.py",
    "discovery/endpoint_list.py",
    "discovery/freshness.py",
    "discovery/pending_lookups.py",
    "discovery/registry_selection.py",
    "discovery/registry_session.py",
    "discovery/subscription.py",
    "discovery/subscription_actions.py",
    "discovery/subscription_calls.py",
    "registry/protocol.py",
    "registry/listing.py",
    "registry/catalog.py",
    "registry/subscriptions.py",
}
IO_MODULES = {"asyncio", "socket", "os", "select", "time", "pathlib", "threading", "subprocess"}


def parse_source(source: str) -> ast.Module:
    """Parses a module while no garbage is collected.

    CPython 3.11.6 fails with "AST constructor recursion depth mismatch" if a collection runs a finalizer
    meanwhile.
    """
    gc.disable()
    try:
        return ast.parse(source)
    finally:
        gc.enable()


def imported_modules(path: Path) -> set[str]:
    """Returns the names of all modules that a file imports."""
    names: set[str] = set()
    for node in ast.walk(parse_source(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module or "")
    return names


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_package_imports_only_allowed_packages(package: str) -> None:
    files = list((ROOT / package).rglob("*.py"))
    assert files
    for path in files:
        packages = {name.split(".")[1] for name in imported_modules(path) if name.startswith("loftrelay.")}
        assert packages <= ALLOWED_IMPORTS[package] | {package}, path


def test_module_has_docstring() -> None:
    for path in ROOT.rglob("*.py"):
        assert ast.get_docstring(parse_source(path.read_text())), path


def test_pure_module_imports_no_io() -> None:
    files = [*ROOT.glob("decisions/**/*.py"), *(ROOT / name for name in PURE_MODULES)]
    for path in files:
        if path.name != "simulator.py":
            assert not imported_modules(path) & IO_MODULES, path


MAX_DECISION_LINES = 400  # without blank lines
MAX_METHODS = 25


@pytest.mark.parametrize("path", sorted(ROOT.glob("decisions/*.py")), ids=lambda path: path.stem)
def test_decision_module_stays_small(path: Path) -> None:
    text = path.read_text()
    assert sum(bool(line.strip()) for line in text.splitlines()) <= MAX_DECISION_LINES
    for node in ast.walk(parse_source(text)):
        if isinstance(node, ast.ClassDef):
            methods = [each for each in node.body if isinstance(each, ast.FunctionDef)]
            assert len(methods) <= MAX_METHODS, node.name


def test_deploy_file_lists_every_decision_module() -> None:
    deploy = tomllib.loads((ROOT.parent / "deploy" / "balancer.toml").read_text())
    decision_modules = {path.relative_to(ROOT.parent).as_posix() for path in ROOT.glob("decisions/*.py")}
    snapshot_modules = ("snapshot", "snapshot_format", "snapshot_state_records", "snapshot_event_records")
    unlisted = {f"loftrelay/decisions/{name}.py" for name in ("__init__", "simulator", *snapshot_modules)}
    assert set(deploy["policy"]) == decision_modules - unlisted


MAX_MODULE_LINES = 500
MAX_FUNCTION_LINES = 50


@pytest.mark.parametrize(
    "package",
    sorted({path.parent for path in ROOT.rglob("*.py")}),
    ids=lambda package: package.relative_to(ROOT.parent).as_posix(),
)
def test_package_modules_classes_and_functions_stay_small(package: Path) -> None:
    for path in package.glob("*.py"):
        text = path.read_text()
        assert text.count("\n") <= MAX_MODULE_LINES, path
        for node in ast.walk(parse_source(text)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                assert node.end_lineno is not None
                assert node.end_lineno - node.lineno < MAX_FUNCTION_LINES, (path, node.name)
            elif isinstance(node, ast.ClassDef):
                methods = [
                    each for each in node.body if isinstance(each, ast.FunctionDef | ast.AsyncFunctionDef)
                ]
                assert len(methods) <= MAX_METHODS, (path, node.name)
