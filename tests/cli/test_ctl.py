"""`ctl` against an admin endpoint on loopback, and without one."""

from __future__ import annotations

import socket
import threading

import pytest

from loftrelay.cli import ctl


def start_endpoint(reply: bytes) -> tuple[str, threading.Thread]:
    """Starts an endpoint that answers one call."""
    listening = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with listening:
            connection, _ = listening.accept()
            with connection:
                while not connection.recv(1024).endswith(b"\n"):
                    pass
                connection.sendall(reply)

    thread = threading.Thread(target=serve)
    thread.start()
    return f"127.0.0.1:{listening.getsockname()[1]}", thread


@pytest.mark.parametrize(
    ("call", "reply", "status"),
    [
        (["ready"], b"YES\n", ctl.ExitStatus.YES),
        (["ready"], b"NO not ready\n", ctl.ExitStatus.NO),
        (["show-stat"], b"app.forwards=1\nEND\n", ctl.ExitStatus.YES),
        (["show-stat"], b"app.forwards=1\n", ctl.ExitStatus.NO_REPLY),
        (["disable-server", "s-1"], b"NO no host has the id s-1\n", ctl.ExitStatus.NO),
        (["enable-server", "s-1"], b"", ctl.ExitStatus.NO_REPLY),
    ],
)
def test_the_exit_status_follows_the_reply(
    call: list[str], reply: bytes, status: int, capsys: pytest.CaptureFixture[str]
) -> None:
    address, thread = start_endpoint(reply)
    assert ctl.main(["--address", address, *call]) == status
    thread.join()
    out, error = capsys.readouterr()
    assert out == (reply.decode() if status != ctl.ExitStatus.NO_REPLY else "")
    assert bool(error) == (status == ctl.ExitStatus.NO_REPLY)


def test_an_endpoint_that_nothing_listens_on(capsys: pytest.CaptureFixture[str]) -> None:
    with socket.create_server(("127.0.0.1", 0)) as unused:
        port = unused.getsockname()[1]
    assert ctl.main(["--address", f"127.0.0.1:{port}", "ready"]) == ctl.ExitStatus.NO_REPLY
    assert "does not answer" in capsys.readouterr().err


@pytest.mark.parametrize("line", [[], ["--address", "x", "ready"], ["--address", "a:1", "reboot"]])
def test_a_bad_command_line_ends_with_the_usage(line: list[str], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("RELAY_CONTROL", raising=False)
    with pytest.raises(SystemExit) as ended:
        ctl.main(line or ["ready"])
    assert ended.value.code == ctl.ExitStatus.USAGE
