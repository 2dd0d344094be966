"""Tests of the whole path of a request through one host, in process."""

import asyncio
import contextlib
import json
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

import openai
import orjson
import pytest

from hollyknot_bench.demo import new_idempotency_key
from hollyknot_daemon.tests.rig import (
    API_KEY,
    IP,
    Rig,
    declarations,
    running_rig,
)
from hollyknot_standins import EngineOptions

_CHAT = "/v1/chat/completions"
_TEST_TIMEOUT_S = 60.0

Drive = Callable[[Callable[[Rig], Awaitable[None]]], None]


def _body(text: str = "rate?", **more: Any) -> dict[str, Any]:
    message = {"role": "user", "content": text}
    return {"model": "tariff", "messages": [message], **more}


@contextlib.contextmanager
def _driver(**options: Any) -> Iterator[Drive]:
    """Yields a function that runs a test on a rig, in the rig's own loop."""
    with asyncio.Runner() as runner:
        stack = contextlib.AsyncExitStack()
        rig = runner.run(stack.enter_async_context(running_rig(**options)))

        async def bounded(test: Callable[[Rig], Awaitable[None]]) -> None:
            async with asyncio.timeout(_TEST_TIMEOUT_S):
                await test(rig)

        try:
            yield lambda test: runner.run(bounded(test))
        finally:
            runner.run(stack.aclose())


@pytest.fixture(name="drive", scope="module")
def _drive() -> Iterator[Drive]:
    with _driver() as drive:
        yield drive


class TestModelCalls:
    """Model calls by a published client library, streamed or not."""

    def test_openai_client_works_unchanged(self, drive: Drive) -> None:
        async def test(rig: Rig) -> None:
            async with openai.AsyncOpenAI(
                base_url=rig.url + "/v1", api_key=API_KEY, max_retries=0
            ) as client:
                models = [m.id async for m in client.models.list()]
                whole = await client.chat.completions.create(**_body("whole"))
                stream = await client.chat.completions.create(
                    **_body("streamed", stream=True)
                )
                parts = [c async for c in stream]
                legacy = await client.completions.create(
                    model="tariff", prompt="legacy"
                )
            assert models == ["tariff", "unserved"]
            assert "whole" in str(whole.choices[0].message.content)
            assert whole.usage is not None
            text = "".join(
                p.choices[0].delta.content or "" for p in parts if p.choices
            )
            assert "streamed" in text
            assert parts[-1].usage is not None
            assert "legacy" in legacy.choices[0].text

        drive(test)

    def test_every_answer_has_its_id_and_verdict(self, drive: Drive) -> None:
        async def test(rig: Rig) -> None:
            response, _ = await rig.send_request(_CHAT, json=_body())
            assert response.headers["X-Verdict"] == "complete"
            request_id = response.headers["X-Request-Id"]
            ran = [e.control.ran[request_id] for e in rig.engines]
            assert sum(ran) == 1
            assert response.headers.getall("Server") == ["hollyknot"]
            response, raw = await rig.send_request(
                _CHAT, json=_body(stream=True)
            )
            assert raw.endswith(b": verdict=complete\n\n")
            assert response.headers.getall("Server") == ["hollyknot"]

        drive(test)

    def test_tries_and_parts_are_counted(self, drive: Drive) -> None:
        async def test(rig: Rig) -> None:
            before = await _read_counters(rig)
            await rig.send_request(_CHAT, json=_body())
            whole = await _read_counters(rig)
            assert whole == (before[0] + 1, before[1])
            await rig.send_request(_CHAT, json=_body(stream=True))
            streamed = await _read_counters(rig)
            assert streamed[0] == whole[0] + 1
            assert streamed[1] > whole[1]

        drive(test)


async def _read_counters(rig: Rig) -> tuple[int, int]:
    """Returns the counts of tries at the model's upstreams and of chunks."""
    url = f"http://{IP}:{rig.host.operators_port}/metrics"
    async with rig.session.get(url) as response:
        text = await response.text()
        assert response.headers.getall("Server") == ["hollyknot"]
    found = dict(line.rsplit(" ", 1) for line in text.splitlines())
    names = ("hollyknot_upstream_tries", "hollyknot_relayed_chunks")
    tries, parts = (
        int(found.get(name + '_total{pool="tariff"}', 0)) for name in names
    )
    return tries, parts


_REFUSALS: dict[str, tuple[dict[str, Any], int, str]] = {
    "no key": ({"json": _body(), "key": ""}, 401, "bad-key"),
    "wrong key": ({"json": _body(), "key": "nobody's"}, 401, "bad-key"),
    "a class that is not the customer's": (
        {"json": _body(), "headers": {"X-Request-Class": "lookup"}},
        403,
        "unknown-class",
    ),
    "hostile class": (
        {"json": _body(), "headers": {"X-Request-Class": "a=b\u00e9" * 900}},
        403,
        "unknown-class",
    ),
    "unknown model": (
        {"json": _body() | {"model": "x"}},
        404,
        "unknown-model",
    ),
    "no upstream": (
        {"json": _body() | {"model": "unserved"}},
        503,
        "no-upstream",
    ),
    "not JSON": ({"data": b"{"}, 400, "bad-request"),
    "not an object": ({"data": b"[]"}, 400, "bad-request"),
    "deep JSON": ({"data": b"[" * 60_000}, 400, "bad-request"),
    "model of a wrong type": ({"json": {"model": 7}}, 400, "bad-request"),
    "stream of a wrong type": (
        {"json": _body(stream="yes")},
        400,
        "bad-request",
    ),
    "messages of a wrong type": (
        {"json": {"model": "tariff", "messages": "hi"}},
        400,
        "bad-request",
    ),
    "GET": ({"method": "GET"}, 405, "bad-request"),
    "too large": ({"data": b"x" * 65_537}, 413, "too-large"),
}


async def _endless_body() -> AsyncIterator[bytes]:
    for _ in range(1_000):
        yield b"x" * 4_096


class TestRefusals:
    """Each invalid request gets an error that says that it was not run."""

    @pytest.mark.parametrize(
        ("request_", "status", "reason"), _REFUSALS.values(), ids=_REFUSALS
    )
    def test_refusal_has_status_verdict_and_reason(
        self,
        drive: Drive,
        request_: dict[str, Any],
        status: int,
        reason: str,
    ) -> None:
        async def test(rig: Rig) -> None:
            response, raw = await rig.send_request(_CHAT, **request_)
            assert response.status == status
            assert response.headers["X-Verdict"] == "not-run"
            assert response.headers["X-Reason"] == reason
            error = orjson.loads(raw)["error"]
            assert error["code"] == reason
            assert "not run" in error["message"]
            has_time = "Retry-After" in response.headers
            assert has_time == (status == 503)

        drive(test)

    def test_chunked_body_is_bounded_too(self, drive: Drive) -> None:
        """A body without a stated length is refused at the limit.

        One caller could exhaust a host's memory with a chunked body if only a
        stated length were compared with the limit.
        """

        async def test(rig: Rig) -> None:
            response, _ = await rig.send_request(_CHAT, data=_endless_body())
            assert response.status == 413

        drive(test)

    def test_services_answer_in_problem_details(self, drive: Drive) -> None:
        async def test(rig: Rig) -> None:
            path = "/v1/services/unheard-of/x"
            response, raw = await rig.send_request(path, method="GET")
            assert response.status == 404
            assert response.content_type == "application/problem+json"
            problem = orjson.loads(raw)
            assert problem["verdict"] == "not-run"
            assert problem["status"] == 404

        drive(test)

    def test_dot_segments_reach_no_service(self, drive: Drive) -> None:
        """A path with dot segments, which resolves to another, is refused.

        If patterns were matched against the path as sent, /x/%2e%2e/orders
        would match none, yet the service resolves it to /orders. A call that
        is declared non-idempotent there could run twice.
        """

        async def test(rig: Rig) -> None:
            before = len(rig.service.control.calls)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", rig.host.callers_port
            )
            writer.write(
                b"GET /v1/services/permits/x/%2e%2e/orders HTTP/1.1\r\n"
                b"Host: h\r\nAuthorization: Bearer "
                + API_KEY.encode()
                + b"\r\nConnection: close\r\n\r\n"
            )
            answer = await reader.read()
            writer.close()
            assert answer.startswith(b"HTTP/1.1 400")
            assert len(rig.service.control.calls) == before

        drive(test)


class TestNonIdempotent:
    """A non-idempotent call runs at most once."""

    @pytest.mark.parametrize(
        "key", ["", "x", "7d444840-9dc0-11d1-b245-5ffdce74fad2"]
    )
    def test_needs_a_key_with_a_time(self, drive: Drive, key: str) -> None:
        async def test(rig: Rig) -> None:
            headers = {"Idempotency-Key": key} if key else {}
            response, _ = await rig.send_request(
                "/v1/services/permits/decisions", headers=headers
            )
            assert response.status == 400
            assert response.headers["X-Reason"] == "idempotency-key"

        drive(test)

    def test_first_key_after_a_cold_start_runs(self) -> None:
        """A host that reports ready accepts a key of that moment.

        The host first reads a list without itself, which gives it no claim
        slots to learn. If it then reported ready because nothing is left to
        learn, it would open its slots later and for later keys only, and
        refuse the first calls for ever as too old.
        """
        with _driver(ahead_s=1.0, is_listed_late=True) as drive:

            async def test(rig: Rig) -> None:
                key = new_idempotency_key()
                response, _ = await rig.send_request(
                    "/v1/services/permits/decisions",
                    headers={"Idempotency-Key": key},
                )
                assert response.status == 200

            drive(test)

    def test_second_send_is_refused_and_not_run(self, drive: Drive) -> None:
        async def test(rig: Rig) -> None:
            key = new_idempotency_key()
            statuses = []
            for _ in range(3):
                response, _ = await rig.send_request(
                    "/v1/services/permits/decisions",
                    headers={"Idempotency-Key": key},
                    json={"household": 7},
                )
                statuses.append(response.status)
            assert statuses == [200, 409, 409]
            assert _run_count(rig, key) == 1

        drive(test)

    def test_call_that_a_service_refused_runs_when_resent(
        self, drive: Drive
    ) -> None:
        """A call that a service refused runs when it is resent.

        The claim is granted, and the service drains and refuses. Each retry
        with the same key would get 409 if the claim were not released on proof
        that nothing ran.
        """

        async def test(rig: Rig) -> None:
            key = new_idempotency_key()
            path = "/v1/services/permits/decisions"
            headers = {"Idempotency-Key": key}
            rig.service.control.draining = True
            response, _ = await rig.send_request(path, headers=headers)
            assert response.status == 503
            assert response.headers["X-Verdict"] == "not-run"
            assert "Retry-After" in response.headers
            rig.service.control.draining = False
            while response.status == 503:
                response, _ = await rig.send_request(path, headers=headers)
            assert response.status == 200
            assert _run_count(rig, key) == 1

        drive(test)


def _run_count(rig: Rig, key: str) -> int:
    calls = rig.service.control.calls
    return sum(call.idempotency_key == key for call in calls)


class TestLostUpstream:
    """Engines and services that are lost during a call."""

    def test_idempotent_call_is_tried_elsewhere(self) -> None:
        """A truncated answer that is not streamed is retried elsewhere.

        The engine truncates its answer before any of it is relayed. The caller
        would get 502 although another engine could answer if the verdict
        "may have run" were passed on without a retry.
        """
        with _driver() as drive:

            async def test(rig: Rig) -> None:
                rig.engines[0].control.truncate = 3
                for number in range(8):
                    response, raw = await rig.send_request(
                        _CHAT, json=_body(f"n{number}")
                    )
                    assert response.status == 200
                    assert f"n{number}" in raw.decode()

            drive(test)

    def test_lost_after_the_call_ran_is_never_run_again(self) -> None:
        """A call is not repeated when its service dies after recording it.

        The service dies before it answers, and the caller resends the same
        key. The call would run twice if a lost connection were taken for
        "not run".
        """
        with _driver() as drive:

            async def test(rig: Rig) -> None:
                control = rig.service.control
                control.restart_after_s = 0.01
                control.crash = "after"
                key = new_idempotency_key()
                path = "/v1/services/permits/crews"
                headers = {"Idempotency-Key": key}
                response, _ = await rig.send_request(path, headers=headers)
                assert response.headers["X-Verdict"] == "may-have-run"
                assert "Retry-After" not in response.headers
                for _ in range(3):
                    response, _ = await rig.send_request(path, headers=headers)
                    assert response.headers["X-Verdict"] != "complete"
                assert _run_count(rig, key) == 1

            drive(test)


class TestPoison:
    """A request that crashes each engine that runs it."""

    @pytest.mark.fault(
        fault="poison request",
        step="sent",
        rule="a request that crashes upstreams is refused",
        seen_failing="requests are not checked against the suspect register",
    )
    def test_is_refused_and_others_are_served(self) -> None:
        """The request is found and refused; other requests still complete.

        A request crashes its engine, its caller repeats it, and the host
        retries it elsewhere. Engine after engine would restart if nothing
        recorded which requests ran when an engine crashed.
        """
        with _driver(engines=4) as drive:

            async def test(rig: Rig) -> None:
                for engine in rig.engines:
                    engine.control.crash_on = "poison"
                    engine.control.restart_after_s = 0.01
                reason = ""
                while reason != "quarantined":
                    response, _ = await rig.send_request(
                        _CHAT, json=_body("poison")
                    )
                    assert response.headers["X-Verdict"] != "complete"
                    reason = response.headers["X-Reason"]
                crashes = sum(sum(e.control.ran.values()) for e in rig.engines)
                assert crashes <= 4
                response = (
                    await rig.send_request(_CHAT, json=_body("innocent"))
                )[0]
                while response.status == 503:
                    response, _ = await rig.send_request(
                        _CHAT, json=_body("innocent")
                    )
                assert response.status == 200

            drive(test)


class TestConfiguration:
    """Versions only increase; an invalid one never replaces a valid one."""

    def test_bad_and_restored_versions_change_nothing(self) -> None:
        """An invalid or restored version leaves the last good one in force.

        Operators publish a document with a mistake; then the service is
        restored from a copy and offers version 1. The host would lose its
        customers, or accept a revoked key, if it applied whatever it read last.
        """
        with _driver() as drive:

            async def test(rig: Rig) -> None:
                good = declarations()
                good["models"]["second"] = {}
                control = rig.configuration.control
                control.publish(good)
                await rig.until(lambda: rig.version("declarations") == 2)
                control.publish(good | {"weights": {"engine-0": 3}})
                await _until_read(rig)
                assert rig.version("declarations") == 2
                control.stale = 1
                await _until_read(rig)
                assert rig.version("declarations") == 2
                response, raw = await rig.send_request(
                    "/v1/models", method="GET"
                )
                assert response.status == 200
                assert b"second" in raw

            drive(test)


async def _until_read(rig: Rig) -> None:
    """Waits until the host has read and applied what is published now."""
    reads = rig.configuration.control.reads
    await rig.until(lambda: rig.configuration.control.reads >= reads + 2)


class TestTraces:
    """Each hop has a span that is part of the caller's trace."""

    def test_spans_of_a_request(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "spans.jsonl"
        trace_id = "0af7651916cd43dd8448eb211c80319c"
        with _driver(trace_file=str(path)) as drive:

            async def test(rig: Rig) -> None:
                parent = f"00-{trace_id}-b7ad6b7169203331-01"
                response, _ = await rig.send_request(
                    "/v1/services/permits/decisions",
                    headers={
                        "traceparent": parent,
                        "Idempotency-Key": new_idempotency_key(),
                    },
                )
                assert response.status == 200

            drive(test)
        spans = [json.loads(line) for line in path.read_text().splitlines()]
        ours = [s for s in spans if s["trace_id"] == trace_id]
        names = {s["name"] for s in ours}
        assert {"request", "admission", "claim", "upstream"} <= names
        root = next(s for s in ours if s["name"] == "request")
        assert root["parent_id"] == "b7ad6b7169203331"
        rest = [s for s in ours if s["name"] in ("admission", "upstream")]
        assert {s["parent_id"] for s in rest} == {root["span_id"]}


class TestStop:
    """A planned stop interrupts no request in flight."""

    def test_streams_in_flight_end_and_new_work_is_refused(self) -> None:
        """A stop lets a stream in flight run to its end.

        Streams would break off at each replacement of a host if closing the
        listening sockets closed the open connections, too.
        """
        options = EngineOptions(interval_s=0.02, min_tokens=40, max_tokens=40)
        with _driver(engine_options=options) as drive:

            async def test(rig: Rig) -> None:
                request = asyncio.ensure_future(
                    rig.send_request(_CHAT, json=_body(stream=True))
                )
                await rig.until(lambda: sum(_started_counts(rig)) == 1)
                stopping = asyncio.ensure_future(rig.host.stop())
                await rig.until(lambda: not rig.host.readiness.is_ready)
                refused, _ = await rig.send_request(_CHAT, json=_body())
                assert refused.status == 503
                assert refused.headers["X-Verdict"] == "not-run"
                assert refused.headers["X-Reason"] == "stopping"
                assert not request.done()
                assert not stopping.done()
                response, raw = await request
                assert response.status == 200
                assert b"data: [DONE]" in raw
                await stopping

            drive(test)


def _started_counts(rig: Rig) -> list[int]:
    return [len(engine.control.ran) for engine in rig.engines]
