"""Settings that change at SIGHUP while messages are open."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from tests.standins.platform import Request, World, deliver, failed, free_port, never, reply, run

STATUS: dict[str, Any] = {
    "name": "status",
    "effect": "idempotent",
    "deadline": 24_000_000,
    "on_time": 3_000_000,
    "worth": 1,
}
ORDER: dict[str, Any] = {**STATUS, "name": "order", "effect": "at_most_once", "in_order": True, "worth": 3}


async def change(w: World, applied: int, **changes: Any) -> None:
    """A new file and SIGHUP; returns once it is in force."""
    w.settings = {**w.settings, **changes}
    w.configure(w.discovery.address)
    w.reload()
    while f"app.sighup_applied={applied}" not in await w.call("show-stat"):
        pass


async def begin(w: World) -> None:
    w.control = f"127.0.0.1:{free_port()}"
    await w.start()


def test_a_class_is_added_and_another_dropped(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await begin(w)
        assert await w.hand_in("early", "status-2") == 404
        await change(w, 1, classes=[{**STATUS, "name": "status-2"}, ORDER])
        assert await w.hand_in("new", "status-2") == 202
        assert await w.hand_in("old", "status") == 202  # its client has not heard yet
        await w.until(lambda: {"new", "old"} <= set(host.ids))
        while "app.succeeded.status=1" not in (text := await w.call("show-stat")):
            pass
        assert "app.succeeded.status-2=1" in text
        assert "app.sighup_rejected=0" in text

    run(scenario, tmp_path)


def test_a_message_keeps_the_effect_that_it_was_taken_under(tmp_path: Path) -> None:
    """Over a restart too: what was harmless goes again after a broken call though its class is unsafe now,
    and what was unsafe does not though its class is harmless."""

    async def scenario(w: World) -> None:
        host = await w.host(never)
        other = await w.host(never, dest=2)
        await begin(w)
        assert await w.hand_in("harmless", "status") == 202
        assert await w.hand_in("unsafe", "order", dest=2) == 202
        await w.until(lambda: host.ids == ["harmless"] and other.ids == ["unsafe"])
        turned = [{**STATUS, "effect": "at_most_once"}, {**ORDER, "effect": "idempotent"}]
        await change(w, 1, classes=turned)
        host.script = other.script = deliver
        await w.restart()
        await w.until(lambda: host.ids == ["harmless", "harmless"])
        await w.until(lambda: failed("unsafe") in w.notices)
        assert other.ids == ["unsafe"]

    run(scenario, tmp_path)


def test_messages_of_a_dropped_class_go_on_under_their_terms_after_a_restart(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        host = await w.host(never)
        await begin(w)
        assert await w.hand_in("m", "status") == 202
        await w.until(lambda: host.ids == ["m"])
        await change(w, 1, classes=[{**STATUS, "name": "another"}, ORDER])
        host.script = deliver
        await w.restart()
        await w.until(lambda: host.ids == ["m", "m"])
        while "app.succeeded.status=1" not in await w.call("show-stat"):
            pass
        assert await w.hand_in("late", "status") == 404  # a new process has never heard of it

    run(scenario, tmp_path)


def test_fewer_attempts_bind_new_messages_alone(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        async def fail(_: Request) -> bytes:
            return reply(500)

        host, other = await w.host(fail), await w.host(fail, dest=2)
        await begin(w)
        await w.warm(host)
        assert await w.hand_in("old") == 202
        await w.until(lambda: host.ids == ["old"])
        await change(w, 1, policy_limits={**w.settings["policy_limits"], "most_tries": 1})
        assert await w.hand_in("new", dest=2) == 202
        await w.until(lambda: any(n["id"] == "new" for n in w.notices))
        await w.until(lambda: host.ids.count("old") >= 2)
        assert other.ids == ["new"]
        assert not any(n["id"] == "old" for n in w.notices)

    run(scenario, tmp_path)


@pytest.mark.parametrize(
    "broken",
    ["", "\n", "{", "[]", "{}", "discovery", "deadline", "most_tries", "classes"],
)
def test_a_broken_file_moves_nothing(tmp_path: Path, broken: str) -> None:
    """Neither the settings nor where discovery is."""

    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await begin(w)
        path = w.configure("127.0.0.1:9")  # nobody listens there
        file = json.loads(path.read_text())
        file["settings"]["classes"] = [{**STATUS, "name": "other"}, ORDER]
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
        while "app.sighup_rejected=0" in (text := await w.call("show-stat")):
            pass
        assert "app.sighup_applied=0" in text
        assert "other" not in text
        assert any("configuration unchanged" in line and "config.json" in line for line in w.log)
        assert await w.hand_in("no", "other") == 404
        await w.hand_in_once_listed("m", 1)
        await w.until(lambda: host.ids == ["m"])
        w.name(dest=5)  # the watch still goes to where discovery was
        await w.hand_in_once_listed("far", dest=5)

    run(scenario, tmp_path)


@pytest.mark.parametrize("broken", ["", "{}", '{"settings": {"classes": []}}'])
def test_a_start_that_finds_a_broken_file_goes_on_with_the_last_one(tmp_path: Path, broken: str) -> None:
    async def scenario(w: World) -> None:
        host = await w.host(never)
        await begin(w)
        await change(w, 1, classes=[{**STATUS, "name": "second"}, ORDER])
        assert await w.hand_in("m", "second") == 202
        await w.until(lambda: host.ids == ["m"])
        (tmp_path / "config.json").write_text(broken)
        w.reload()
        while "app.sighup_rejected=1" not in await w.call("show-stat"):
            pass
        host.script = deliver
        w.keep_file = True
        await w.restart()
        assert any("starting with the configuration last in force" in line for line in w.log)
        await w.until(lambda: host.ids == ["m", "m"])
        while (status := await w.hand_in("later", "second")) == 503:
            pass  # the list is not kept, and comes anew
        assert status == 202

    run(scenario, tmp_path)
