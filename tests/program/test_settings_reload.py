"""Settings changed by SIGHUP while messages are open."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.standins.harness import (
    RelayHarness,
    Request,
    format_response,
    free_port,
    never_respond,
    respond_ok,
    run_scenario,
    undeliverable_report,
)

STATUS_CLASS: dict[str, Any] = {
    "name": "status",
    "effect": "idempotent",
    "deadline": 24_000_000,
    "on_time": 3_000_000,
    "worth": 1,
}
ORDER_CLASS: dict[str, Any] = {
    **STATUS_CLASS,
    "name": "order",
    "effect": "at_most_once",
    "in_order": True,
    "worth": 3,
}


async def apply_settings(harness: RelayHarness, applied: int, **changes: Any) -> None:
    """Writes a changed file, sends SIGHUP and waits until `applied` reloads were applied."""
    harness.settings = {**harness.settings, **changes}
    harness.write_config(harness.discovery.address)
    harness.reload()
    while f"app.sighup_applied={applied}" not in await harness.call_admin("show-stat"):
        pass


async def start_relay(harness: RelayHarness) -> None:
    """Starts the relay with an admin address."""
    harness.admin_address = f"127.0.0.1:{free_port()}"
    await harness.start()


def test_reload_adds_and_drops_classes(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(respond_ok)
        await start_relay(harness)
        assert await harness.submit("early", "status-2") == 404
        await apply_settings(harness, 1, classes=[{**STATUS_CLASS, "name": "status-2"}, ORDER_CLASS])
        assert await harness.submit("new", "status-2") == 202
        assert await harness.submit("old", "status") == 202  # its client does not know the change yet
        await harness.wait_until(lambda: {"new", "old"} <= set(host.request_ids))
        while "app.succeeded.status=1" not in (text := await harness.call_admin("show-stat")):
            pass
        assert "app.succeeded.status-2=1" in text
        assert "app.sighup_rejected=0" in text

    run_scenario(scenario, tmp_path)


def test_reload_keeps_semantics_of_admitted_messages(tmp_path: Path) -> None:
    """Across a restart too: a message admitted as idempotent is sent again after a broken call though its
    class is at-most-once now, and one admitted as at-most-once is not though its class is idempotent now."""

    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(never_respond)
        other = await harness.start_host(never_respond, destination=2)
        await start_relay(harness)
        assert await harness.submit("harmless", "status") == 202
        assert await harness.submit("unsafe", "order", destination=2) == 202
        await harness.wait_until(lambda: host.request_ids == ["harmless"] and other.request_ids == ["unsafe"])
        swapped = [{**STATUS_CLASS, "effect": "at_most_once"}, {**ORDER_CLASS, "effect": "idempotent"}]
        await apply_settings(harness, 1, classes=swapped)
        host.handler = other.handler = respond_ok
        await harness.restart()
        await harness.wait_until(lambda: host.request_ids == ["harmless", "harmless"])
        await harness.wait_until(lambda: undeliverable_report("unsafe") in harness.status_reports)
        assert other.request_ids == ["unsafe"]

    run_scenario(scenario, tmp_path)


def test_restart_keeps_terms_of_messages_of_dropped_class(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(never_respond)
        await start_relay(harness)
        assert await harness.submit("m", "status") == 202
        await harness.wait_until(lambda: host.request_ids == ["m"])
        await apply_settings(harness, 1, classes=[{**STATUS_CLASS, "name": "another"}, ORDER_CLASS])
        host.handler = respond_ok
        await harness.restart()
        await harness.wait_until(lambda: host.request_ids == ["m", "m"])
        while "app.succeeded.status=1" not in await harness.call_admin("show-stat"):
            pass
        assert await harness.submit("late", "status") == 404  # the new process does not know the class

    run_scenario(scenario, tmp_path)


def test_reload_with_fewer_attempts_affects_new_messages_only(tmp_path: Path) -> None:
    async def scenario(harness: RelayHarness) -> None:
        async def fail(_: Request) -> bytes:
            return format_response(500)

        host, other = await harness.start_host(fail), await harness.start_host(fail, destination=2)
        await start_relay(harness)
        await harness.warm_up(host)
        assert await harness.submit("old") == 202
        await harness.wait_until(lambda: host.request_ids == ["old"])
        await apply_settings(harness, 1, policy_limits={**harness.settings["policy_limits"], "most_tries": 1})
        assert await harness.submit("new", destination=2) == 202
        await harness.wait_until(lambda: any(n["id"] == "new" for n in harness.status_reports))
        await harness.wait_until(lambda: host.request_ids.count("old") >= 2)
        assert other.request_ids == ["new"]
        assert not any(n["id"] == "old" for n in harness.status_reports)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "fault",
    ["", "\n", "{", "[]", "{}", "discovery", "deadline", "most_tries", "classes"],
)
def test_reload_of_invalid_file_changes_nothing(tmp_path: Path, fault: str) -> None:
    """Neither the settings nor the address of discovery change."""

    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(respond_ok)
        await start_relay(harness)
        path = harness.write_config("127.0.0.1:9")  # nothing listens there
        config = json.loads(path.read_text())
        config["settings"]["classes"] = [{**STATUS_CLASS, "name": "other"}, ORDER_CLASS]
        match fault:
            case "discovery":
                del config["discovery"]
            case "deadline":
                config["settings"]["classes"][0]["deadline"] = -5
            case "most_tries":
                config["settings"]["policy_limits"]["most_tries"] = 0
            case "classes":
                del config["settings"]["classes"]
        content = json.dumps(config)
        path.write_text(content if fault in ("discovery", "deadline", "most_tries", "classes") else fault)
        harness.reload()
        harness.reload()
        while "app.sighup_rejected=0" in (text := await harness.call_admin("show-stat")):
            pass
        assert "app.sighup_applied=0" in text
        assert "other" not in text
        assert any("configuration unchanged" in line and "config.json" in line for line in harness.log)
        assert await harness.submit("no", "other") == 404
        await harness.submit_once_listed("m", 1)
        await harness.wait_until(lambda: host.request_ids == ["m"])
        harness.add_unavailable_destination(destination=5)  # the watch still goes to the old address
        await harness.submit_once_listed("far", destination=5)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("fault", ["", "{}", '{"settings": {"classes": []}}'])
def test_start_with_invalid_file_uses_last_valid_configuration(tmp_path: Path, fault: str) -> None:
    async def scenario(harness: RelayHarness) -> None:
        host = await harness.start_host(never_respond)
        await start_relay(harness)
        await apply_settings(harness, 1, classes=[{**STATUS_CLASS, "name": "second"}, ORDER_CLASS])
        assert await harness.submit("m", "second") == 202
        await harness.wait_until(lambda: host.request_ids == ["m"])
        (tmp_path / "config.json").write_text(fault)
        harness.reload()
        while "app.sighup_rejected=1" not in await harness.call_admin("show-stat"):
            pass
        host.handler = respond_ok
        harness.keeps_config_file = True
        await harness.restart()
        assert any("starting with the configuration last in force" in line for line in harness.log)
        await harness.wait_until(lambda: host.request_ids == ["m", "m"])
        while (status := await harness.submit("later", "second")) == 503:
            pass  # the endpoint list is not stored, and has to be fetched first
        assert status == 202

    run_scenario(scenario, tmp_path)
