"""`ctl` against a door over loopback sockets, and where none is."""

from __future__ import annotations

import socket
import threading

import pytest

from loftrelay.cli import ctl


def answering(answer: bytes) -> tuple[str, threading.Thread]:
    """A door for one call."""
    listening = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        with listening:
            connection, _ = listening.accept()
            with connection:
                while not connection.recv(1024).endswith(b"\n"):
                    pass
                connection.sendall(answer)

    thread = threading.Thread(target=serve)
    thread.start()
    return f"127.0.0.1:{listening.getsockname()[1]}", thread


@pytest.mark.parametrize(
    ("call", "answer", "status"),
    [
        (["ready"], b"YES\n", ctl.YES),
        (["ready"], b"NO not ready\n", ctl.NO),
        (["show-stat"], b"app.forwards=1\nEND\n", ctl.YES),
        (["show-stat"], b"app.forwards=1\n", ctl.UNREACHED),
        (["disable-server", "s-1"], b"NO no host has the id s-1\n", ctl.NO),
        (["enable-server", "s-1"], b"", ctl.UNREACHED),
    ],
)
def test_the_exit_status_tells_the_answer(
    call: list[str], answer: bytes, status: int, capsys: pytest.CaptureFixture[str]
) -> None:
    address, thread = answering(answer)
    assert ctl.main(["--address", address, *call]) == status
    thread.join()
    out, complaint = capsys.readouterr()
    assert out == (answer.decode() if status != ctl.UNREACHED else "")
    assert bool(complaint) == (status == ctl.UNREACHED)


def test_nobody_answers(capsys: pytest.CaptureFixture[str]) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
    assert ctl.main(["--address", f"127.0.0.1:{port}", "ready"]) == ctl.UNREACHED
    assert "does not answer" in capsys.readouterr().err


@pytest.mark.parametrize("line", [[], ["--address", "x", "ready"], ["--address", "a:1", "reboot"]])
def test_a_bad_command_line(line: list[str], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("RELAY_CONTROL", raising=False)
    with pytest.raises(SystemExit) as ended:
        ctl.main(line or ["ready"])
    assert ended.value.code == ctl.USAGE
