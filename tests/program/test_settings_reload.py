"""Settings that change at SIGHUP while messages are open."""

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


async def apply_settings(w: RelayHarness, applied: int, **changes: Any) -> None:
    """A new file and SIGHUP; returns once it is in force."""
    w.settings = {**w.settings, **changes}
    w.write_config(w.discovery.address)
    w.reload()
    while f"app.sighup_applied={applied}" not in await w.call_admin("show-stat"):
        pass


async def start_relay(w: RelayHarness) -> None:
    w.admin_address = f"127.0.0.1:{free_port()}"
    await w.start()


def test_reload_adds_and_drops_classes(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await start_relay(w)
        assert await w.submit("early", "status-2") == 404
        await apply_settings(w, 1, classes=[{**STATUS_CLASS, "name": "status-2"}, ORDER_CLASS])
        assert await w.submit("new", "status-2") == 202
        assert await w.submit("old", "status") == 202  # its client has not heard yet
        await w.wait_until(lambda: {"new", "old"} <= set(host.request_ids))
        while "app.succeeded.status=1" not in (text := await w.call_admin("show-stat")):
            pass
        assert "app.succeeded.status-2=1" in text
        assert "app.sighup_rejected=0" in text

    run_scenario(scenario, tmp_path)


def test_reload_keeps_semantics_of_admitted_messages(tmp_path: Path) -> None:
    """Over a restart too: what was harmless goes again after a broken call though its class is unsafe now,
    and what was unsafe does not though its class is harmless."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(never_respond)
        other = await w.start_host(never_respond, destination=2)
        await start_relay(w)
        assert await w.submit("harmless", "status") == 202
        assert await w.submit("unsafe", "order", destination=2) == 202
        await w.wait_until(lambda: host.request_ids == ["harmless"] and other.request_ids == ["unsafe"])
        turned = [{**STATUS_CLASS, "effect": "at_most_once"}, {**ORDER_CLASS, "effect": "idempotent"}]
        await apply_settings(w, 1, classes=turned)
        host.handler = other.handler = respond_ok
        await w.restart()
        await w.wait_until(lambda: host.request_ids == ["harmless", "harmless"])
        await w.wait_until(lambda: undeliverable_report("unsafe") in w.status_reports)
        assert other.request_ids == ["unsafe"]

    run_scenario(scenario, tmp_path)


def test_restart_keeps_terms_of_messages_of_dropped_class(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(never_respond)
        await start_relay(w)
        assert await w.submit("m", "status") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])
        await apply_settings(w, 1, classes=[{**STATUS_CLASS, "name": "another"}, ORDER_CLASS])
        host.handler = respond_ok
        await w.restart()
        await w.wait_until(lambda: host.request_ids == ["m", "m"])
        while "app.succeeded.status=1" not in await w.call_admin("show-stat"):
            pass
        assert await w.submit("late", "status") == 404  # a new process has never heard of it

    run_scenario(scenario, tmp_path)


def test_reload_with_fewer_attempts_affects_new_messages_only(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        async def fail(_: Request) -> bytes:
            return format_response(500)

        host, other = await w.start_host(fail), await w.start_host(fail, destination=2)
        await start_relay(w)
        await w.warm_up(host)
        assert await w.submit("old") == 202
        await w.wait_until(lambda: host.request_ids == ["old"])
        await apply_settings(w, 1, policy_limits={**w.settings["policy_limits"], "most_tries": 1})
        assert await w.submit("new", destination=2) == 202
        await w.wait_until(lambda: any(n["id"] == "new" for n in w.status_reports))
        await w.wait_until(lambda: host.request_ids.count("old") >= 2)
        assert other.request_ids == ["new"]
        assert not any(n["id"] == "old" for n in w.status_reports)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "broken",
    ["", "\n", "{", "[]", "{}", "discovery", "deadline", "most_tries", "classes"],
)
def test_reload_of_invalid_file_changes_nothing(tmp_path: Path, broken: str) -> None:
    """Neither the settings nor where discovery is."""

    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)
        await start_relay(w)
        path = w.write_config("127.0.0.1:9")  # nobody listens there
        file = json.loads(path.read_text())
        file["settings"]["classes"] = [{**STATUS_CLASS, "name": "other"}, ORDER_CLASS]
        match broken:
            case "discovery":
                del file["discovery"]
            case "deadline":
                file["settings"]["classes"][0]["deadline"] = -5
            case "most_tries":
                file["settings"]["policy_limits"]["most_tries"] = 0
            case "classes":
                del file["settings"]["classes"]
        whole = json.dumps(file)
        path.write_text(whole if broken in ("discovery", "deadline", "most_tries", "classes") else broken)
        w.reload()
        w.reload()
        while "app.sighup_rejected=0" in (text := await w.call_admin("show-stat")):
            pass
        assert "app.sighup_applied=0" in text
        assert "other" not in text
        assert any("configuration unchanged" in line and "config.json" in line for line in w.log)
        assert await w.submit("no", "other") == 404
        await w.submit_once_listed("m", 1)
        await w.wait_until(lambda: host.request_ids == ["m"])
        w.add_unavailable_destination(destination=5)  # the watch still goes to where discovery was
        await w.submit_once_listed("far", destination=5)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("broken", ["", "{}", '{"settings": {"classes": []}}'])
def test_start_with_invalid_file_uses_last_valid_configuration(tmp_path: Path, broken: str) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(never_respond)
        await start_relay(w)
        await apply_settings(w, 1, classes=[{**STATUS_CLASS, "name": "second"}, ORDER_CLASS])
        assert await w.submit("m", "second") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])
        (tmp_path / "config.json").write_text(broken)
        w.reload()
        while "app.sighup_rejected=1" not in await w.call_admin("show-stat"):
            pass
        host.handler = respond_ok
        w.keeps_config_file = True
        await w.restart()
        assert any("starting with the configuration last in force" in line for line in w.log)
        await w.wait_until(lambda: host.request_ids == ["m", "m"])
        while (status := await w.submit("later", "second")) == 503:
            pass  # the list is not kept, and comes anew
        assert status == 202

    run_scenario(scenario, tmp_path)
