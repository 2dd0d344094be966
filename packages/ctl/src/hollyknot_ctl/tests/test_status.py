"""Tests of `hollyknotctl status` against hosts and other servers."""

import json
import socket
import threading
from collections.abc import Iterator

import attrs
import pytest
from click.testing import CliRunner, Result

from hollyknot_ctl._main import cli


def _run(*arguments: str) -> Result:
    result = CliRunner().invoke(cli, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit)
    return result


@attrs.define
class _Server:
    """Answers one connection with fixed bytes."""

    answer: bytes
    address: str = ""

    def serve(self, listener: socket.socket) -> None:
        connection, _ = listener.accept()
        # The client may retry by itself; a closed listener refuses the retry
        # at once instead of letting it wait.
        listener.close()
        with connection:
            connection.recv(65_536)
            connection.sendall(self.answer)


def _answer(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.fixture
def server(request: pytest.FixtureRequest) -> Iterator[_Server]:
    """Starts a server that sends the bytes of the test's parameter."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(10)
        port = listener.getsockname()[1]
        served = _Server(request.param, f"127.0.0.1:{port}")
        thread = threading.Thread(target=served.serve, args=(listener,))
        thread.start()
        yield served
        thread.join()


_STATUS = {
    "host": "hall-a-1",
    "ready": True,
    "versions": {"declarations": 7, "hosts": 9},
    "peers": [],
    "upstreams": [
        {"name": "e1\x1b[2J", "in_flight": 3},
        {"name": "e2", "slowness": 0.123456},
    ],
    "classes": {"counter": {"attainment": 0.98, "arrived": 50}},
}


class TestStatus:
    """The command `status`."""

    @pytest.mark.parametrize(
        "server", [_answer(200, json.dumps(_STATUS).encode())], indirect=True
    )
    def test_prints_tables(self, server: _Server) -> None:
        result = _run("status", server.address)
        assert result.exit_code == 0, result.stderr
        assert result.stdout.split("\n\n") == [
            "host: hall-a-1\nready: yes",
            "versions:\nname          value\ndeclarations  7\nhosts         9",
            "peers:\nnone",
            "upstreams:\nname       in_flight  slowness\n"
            "e1\\x1b[2J  3\ne2                    0.1235",
            "classes:\nname     attainment  arrived\ncounter  0.98        50\n",
        ]

    @pytest.mark.parametrize(
        "server",
        [
            _answer(404, b"{}"),
            _answer(200, b"not json"),
            _answer(200, b"[]"),
            b"SSH-2.0-x\r\n",
            b"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{",
            b"",
        ],
        indirect=True,
    )
    def test_invalid_answer_is_reported_as_one_line(
        self, server: _Server
    ) -> None:
        """Guards against a traceback on an answer that is no status.

        The operator may give another port of the host, such as that of the
        links, or the host may close the connection before its answer ends.
        """
        result = _run("status", server.address)
        assert (result.exit_code, result.stdout) == (1, "")
        assert result.stderr.startswith(f"hollyknotctl: {server.address}: ")
        assert result.stderr.count("\n") == 1

    def test_refused_connection_is_reported(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        result = _run("status", address)
        assert result.exit_code == 1
        assert "can't be reached" in result.stderr

    @pytest.mark.parametrize(
        "address", ["host:80", "127.0.0.1", "127.0.0.1:", "::1:0", "1.1.1.1:x"]
    )
    def test_invalid_address_is_rejected(self, address: str) -> None:
        assert _run("status", address).exit_code == 2
