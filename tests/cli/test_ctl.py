"""The command `ctl` with an admin endpoint on loopback, and without one."""

from __future__ import annotations

import socket
import threading

import pytest

from loftrelay.cli import ctl


def start_endpoint(reply: bytes) -> tuple[str, threading.Thread]:
    """Starts an endpoint that sends one reply; returns its address and its thread."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with listener:
            connection, _ = listener.accept()
            with connection:
                while not connection.recv(1024).endswith(b"\n"):
                    pass
                connection.sendall(reply)

    thread = threading.Thread(target=serve)
    thread.start()
    return f"127.0.0.1:{listener.getsockname()[1]}", thread


@pytest.mark.parametrize(
    ("command", "reply", "status"),
    [
        (["ready"], b"YES\n", ctl.ExitStatus.YES),
        (["ready"], b"NO not ready\n", ctl.ExitStatus.NO),
        (["show-stat"], b"app.forwards=1\nEND\n", ctl.ExitStatus.YES),
        (["show-stat"], b"app.forwards=1\n", ctl.ExitStatus.NO_REPLY),
        (["disable-server", "s-1"], b"NO no host has the id s-1\n", ctl.ExitStatus.NO),
        (["enable-server", "s-1"], b"", ctl.ExitStatus.NO_REPLY),
    ],
)
def test_ctl_exit_status_follows_reply(
    command: list[str], reply: bytes, status: int, capsys: pytest.CaptureFixture[str]
) -> None:
    address, thread = start_endpoint(reply)
    assert ctl.main(["--address", address, *command]) == status
    thread.join()
    out, error = capsys.readouterr()
    assert out == (reply.decode() if status != ctl.ExitStatus.NO_REPLY else "")
    assert bool(error) == (status == ctl.ExitStatus.NO_REPLY)


def test_ctl_without_listening_endpoint_exits_with_no_reply(capsys: pytest.CaptureFixture[str]) -> None:
    with socket.create_server(("127.0.0.1", 0)) as unused:
        port = unused.getsockname()[1]
    assert ctl.main(["--address", f"127.0.0.1:{port}", "ready"]) == ctl.ExitStatus.NO_REPLY
    assert "no reply from" in capsys.readouterr().err


@pytest.mark.parametrize("command_line", [[], ["--address", "x", "ready"], ["--address", "a:1", "reboot"]])
def test_ctl_with_invalid_command_line_exits_with_usage(
    command_line: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("RELAY_CONTROL", raising=False)
    with pytest.raises(SystemExit) as exit_info:
        ctl.main(command_line or ["ready"])
    assert exit_info.value.code == ctl.ExitStatus.USAGE
