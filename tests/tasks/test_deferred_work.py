"""Work that is done in slices: each connection gets its turn, and other events of the loop theirs."""

from __future__ import annotations

import asyncio

from loftrelay.net.head_size import count_head_lines
from loftrelay.server.http.exchange import Exchange, ReadResult
from loftrelay.tasks.deferred_work import SlicedParsing, deferred_work


def test_slices_of_several_connections_take_turns() -> None:
    """A connection with much work left held up those that came after it."""

    async def main() -> None:
        order: list[str] = []

        def work(name: str, slices: int) -> None:
            left = [slices]

            def run() -> bool:
                order.append(name)
                left[0] -= 1
                return left[0] > 0

            deferred_work().submit(run)

        work("long", 5)
        work("short", 2)
        while len(order) < 7:
            await asyncio.sleep(0)
        assert order == ["long", "short", "long", "short", "long", "long", "long"]

    asyncio.run(main())


def test_failing_slice_ends_no_other_work() -> None:
    async def main() -> None:
        done = asyncio.Event()

        def fail() -> bool:
            raise RuntimeError("injected")

        def finish() -> bool:
            done.set()
            return False

        deferred_work().submit(fail)
        deferred_work().submit(finish)
        async with asyncio.timeout(60):
            await done.wait()

    asyncio.run(main())


def test_suspended_parsing_waits_while_its_connection_is_paused() -> None:
    async def main() -> None:
        steps: list[str] = []
        is_paused = True
        parsing = SlicedParsing(
            lambda: steps.append("parse"), lambda: not is_paused, lambda: steps.append("parsed")
        )
        parsing.suspend()
        for _ in range(5):
            await asyncio.sleep(0)
        assert parsing.is_suspended
        assert steps == []
        is_paused = False
        parsing.resume()
        parsing.resume()  # it is queued once
        for _ in range(5):
            await asyncio.sleep(0)
        assert steps == ["parse", "parsed"]
        assert not parsing.is_suspended

    asyncio.run(main())


def test_exchange_reads_a_request_of_many_parts_in_slices() -> None:
    exchange = Exchange()
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    result, slices = exchange.receive(head + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n", max_events=10), 1
    while result is ReadResult.WORK_LEFT:
        result, slices = exchange.resume(max_events=10), slices + 1
    assert result is ReadResult.REQUEST_COMPLETE
    assert slices == 11  # the head, 100 chunks and the end
    assert exchange.take_body() == b"x" * 100


def test_count_head_lines_counts_no_lines_of_the_body() -> None:
    assert count_head_lines(b"POST / HTTP/1.1\r\na: b\r\n\r\n" + b"\n" * 1000) == 2
    assert count_head_lines(b"POST / HTTP/1.1\r\na: b\r\nc") == 2
    assert count_head_lines(b"") == 0
