"""A new process comes up at the address of one that has gone: it is not taken for the old one."""

from __future__ import annotations

from pathlib import Path

from tests.standins.harness import (
    RelayHarness,
    Request,
    format_response,
    respond_ok,
    run_scenario,
    undeliverable_report,
)


def test_address_that_the_list_gives_to_another_host_gets_only_its_messages(tmp_path: Path) -> None:
    """The host of destination 1 has gone; one of destination 2 listens where it did."""

    async def scenario(harness: RelayHarness) -> None:
        server = await harness.start_host(respond_ok)
        await harness.start()
        assert await harness.submit("old") == 202
        await harness.wait_until(lambda: server.request_ids == ["old"])
        harness.endpoints.clear()
        harness.add_endpoint(2, "plain", "Ready", server.address)
        harness.endpoints[0]["id"] = "h-new"
        await harness.submit_once_listed("new", destination=2)
        await harness.wait_until(lambda: "new" in server.request_ids)
        assert await harness.submit("left", Request_Timeout_Ms="1000") == 202  # destination 1 has no host
        await harness.wait_until(lambda: "left" in harness.reported_at)
        connections = {request.id: request.connection for request in server.requests}
        assert connections["new"] != connections["old"]
        assert server.request_ids == ["old", "new"]

    run_scenario(scenario, tmp_path)


def test_order_that_was_out_at_a_host_that_starts_again_is_not_sent_to_the_new_process(
    tmp_path: Path,
) -> None:
    """The host has the same id and address as before; what its old process has done is not known."""

    async def scenario(harness: RelayHarness) -> None:
        async def hang_on_orders(request: Request) -> bytes | None:
            if request.id == "out":
                await harness.wait_until(lambda: is_restarted)
                return None
            return format_response(200)

        is_restarted = False
        server = await harness.start_host(hang_on_orders)
        await harness.start()
        assert await harness.submit("out", "order", path="/order/k1") == 202
        await harness.wait_until(lambda: server.request_ids == ["out"])
        is_restarted = True
        server.close_connections()
        harness.endpoints[0]["up_since_ms"] = 1
        harness.revision += 1
        harness.notify_changed()
        await harness.wait_until(lambda: harness.status_reports == [undeliverable_report("out")])
        assert await harness.submit("after", "order", path="/order/k1") == 202
        await harness.wait_until(lambda: "after" in server.request_ids)
        connections = {request.id: request.connection for request in server.requests}
        assert connections["after"] != connections["out"]
        assert server.request_ids == ["out", "after"]

    run_scenario(scenario, tmp_path)
