"""Tests of the engine: answers, batching, prefix cache, orders, faults."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import attrs
import orjson
import pytest

from hollyknot_standins import (
    EngineControl,
    EngineOptions,
    Standin,
    expected_text,
    start_engine,
)

ENDLESS = EngineOptions(slots=1, queue=0, min_tokens=10**9, max_tokens=10**9)
Engine = Standin[EngineControl]


class Client:
    """An HTTP client of one engine."""

    def __init__(self, engine: Engine, session: aiohttp.ClientSession) -> None:
        self.engine = engine
        self.session = session
        self.url = f"http://127.0.0.1:{engine.address.port}"

    async def send(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Sends a request and reads the JSON answer."""
        async with self.session.request(
            method, self.url + path, json=body
        ) as answer:
            return answer.status, orjson.loads(await answer.read())

    async def wait_for_load(self, part: str, value: int) -> None:
        """Reads the load until one of its fields has a value."""
        load: dict[str, Any] = {}
        while load.get(part) != value:
            _, load = await self.send("GET", "/v1/load")

    async def assert_refused(self, request_id: str) -> None:
        """Sends a request and checks that it is refused as not run."""
        async with self.ask(request_id) as answer:
            assert answer.status == 503
            assert answer.headers["X-Not-Run"] == "true"

    def ask(
        self,
        request_id: str,
        message: str = "hello",
        stream: bool = False,
        priority: int = 1,
    ) -> Any:
        """Starts a chat request."""
        body = {
            "stream": stream,
            "messages": [{"role": "user", "content": message}],
        }
        headers = {"X-Request-Id": request_id, "X-Priority": str(priority)}
        return self.session.post(
            self.url + "/v1/chat/completions", json=body, headers=headers
        )


@contextlib.asynccontextmanager
async def open_client(options: EngineOptions) -> AsyncIterator[Client]:
    """Starts an engine and a client for it."""
    async with (
        start_engine(options) as engine,
        aiohttp.ClientSession() as session,
    ):
        yield Client(engine, session)


def run_scenario(
    options: EngineOptions, scenario: Callable[[Client], Awaitable[None]]
) -> None:
    """Starts an engine and runs a scenario against it."""

    async def run() -> None:
        async with asyncio.timeout(20), open_client(options) as client:
            await scenario(client)

    asyncio.run(run())


def parse_events(body: bytes) -> list[Any]:
    """Parses the events of a stream; `[DONE]` stays a string."""
    lines = [part[6:] for part in body.split(b"\n\n") if part]
    return ["[DONE]" if x == b"[DONE]" else orjson.loads(x) for x in lines]


def join_tokens(events: list[Any]) -> str:
    """Joins the tokens of a stream's events."""
    choices = [
        e["choices"][0] for e in events if e != "[DONE]" and e["choices"]
    ]
    return "".join(choice["delta"]["content"] for choice in choices)


class TestAnswers:
    """OpenAI answers: complete, streamed and resumed."""

    @pytest.mark.parametrize("interval_s", [0.0, 0.001])
    def test_stream_has_the_complete_answer(self, interval_s: float) -> None:
        async def scenario(client: Client) -> None:
            async with client.ask("r1", 'hé "you"', stream=True) as answer:
                events = parse_events(await answer.read())
            assert join_tokens(events) == expected_text('hé "you"', 40)
            assert {e["id"] for e in events[:-1]} == {"r1"}
            assert events[-2]["usage"]["completion_tokens"] == 40
            assert events[-1] == "[DONE]"

        options = EngineOptions(
            interval_s=interval_s, min_tokens=40, max_tokens=40
        )
        run_scenario(options, scenario)

    def test_unstreamed_answer_is_complete_and_counted(self) -> None:
        async def scenario(client: Client) -> None:
            async with client.ask("r1") as answer:
                body = await answer.json()
            text = body["choices"][0]["message"]["content"]
            assert text == expected_text("hello", 16)
            status, ran = await client.send("GET", "/control/ran")
            assert status == 200
            assert ran == {"ran": {"r1": 1}, "resumed": {}, "tokens": 16}

        run_scenario(EngineOptions(), scenario)

    def test_completions_are_answered_and_bad_bodies_rejected(self) -> None:
        async def scenario(client: Client) -> None:
            body = {"prompt": "hi", "max_tokens": 2}
            status, answer = await client.send("POST", "/v1/completions", body)
            assert (status, answer["choices"][0]["text"]) == (200, "echo:hi t1")
            status, _ = await client.send("POST", "/v1/completions", {})
            assert status == 400

        run_scenario(EngineOptions(), scenario)

    def test_resume_returns_the_remaining_tokens(self) -> None:
        """Guards against lost or repeated tokens when a stream is resumed.

        The stream is cut off after three tokens. The rest must come from the
        same engine, and from another engine that imported the prompt.
        """

        async def scenario(client: Client) -> None:
            client.engine.control.truncate = 3
            async with client.ask("r1", stream=True) as answer:
                first = parse_events(await answer.read())
            assert "[DONE]" not in first
            client.engine.control.truncate = 0
            path = "/v1/resume/r1?after=3"
            async with client.session.get(client.url + path) as answer:
                rest = parse_events(await answer.read())
            assert join_tokens(first) + join_tokens(rest) == expected_text(
                "hello", 16
            )
            body = {"request_id": "r1"}
            _, exported = await client.send("POST", "/v1/kv/export", body)
            async with open_client(EngineOptions()) as other:
                assert (await other.send("GET", path))[0] == 404
                await other.send("POST", "/v1/kv/import", exported)
                async with other.session.get(other.url + path) as answer:
                    assert parse_events(await answer.read()) == rest
                assert other.engine.control.resumed == {"r1": 1}

        run_scenario(EngineOptions(), scenario)


class TestBatch:
    """Slots, the queue, cancellation and refusals."""

    def test_draining_or_full_engine_refuses(self) -> None:
        async def scenario(client: Client) -> None:
            async with client.ask("r1", stream=True):
                await client.send("POST", "/control", {"draining": True})
                await client.assert_refused("r2")
                _, load = await client.send("GET", "/v1/load")
                assert (load["running"], load["draining"]) == (1, True)
                await client.send("POST", "/control", {"draining": False})
                async with client.ask("r3", stream=True):
                    await client.assert_refused("r4")
            assert client.engine.control.ran == {"r1": 1, "r3": 1}

        run_scenario(attrs.evolve(ENDLESS, slots=2), scenario)

    @pytest.mark.parametrize("way", ["cancel", "close"])
    def test_cancelled_or_closed_stream_frees_its_slot(self, way: str) -> None:
        async def scenario(client: Client) -> None:
            async with client.ask("r1", stream=True) as answer:
                await answer.content.readany()
                if way == "cancel":
                    await client.send("POST", "/v1/cancel/r1")
                    assert not (await answer.read()).endswith(b"[DONE]\n\n")
                else:
                    answer.close()
            await client.wait_for_load("running", 0)

        run_scenario(ENDLESS, scenario)

    def test_queue_is_ordered_by_priority(self) -> None:
        async def scenario(client: Client) -> None:
            async def ask(request_id: str, priority: int) -> None:
                async with client.ask(request_id, priority=priority) as answer:
                    assert answer.status == 499

            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(ask("first", 3))
                await client.wait_for_load("running", 1)
                tasks.create_task(ask("low", 3))
                await client.wait_for_load("queued", 1)
                tasks.create_task(ask("high", 1))
                await client.wait_for_load("queued", 2)
                for request_id, queued in [("first", 1), ("high", 0)]:
                    await client.send("POST", f"/v1/cancel/{request_id}")
                    await client.wait_for_load("queued", queued)
                await client.send("POST", "/v1/cancel/low")
            ran = list(client.engine.control.ran)
            assert ran == ["first", "high", "low"]

        run_scenario(attrs.evolve(ENDLESS, queue=2), scenario)


class TestCacheAndOrders:
    """Events of the prefix cache, and fencing of orders."""

    def test_cache_events_have_gaps_and_evictions(self) -> None:
        async def scenario(client: Client) -> None:
            cached = []
            for message in ("a" * 300, "a" * 300, "b" * 900, "a" * 300):
                async with client.ask("r", message) as answer:
                    usage = (await answer.json())["usage"]
                details = usage["prompt_tokens_details"]
                cached.append(details["cached_tokens"] * 4)
            assert cached == [0, 256, 0, 0]
            _, body = await client.send("GET", "/v1/cache-events?after=1")
            observed = [(e["seq"], e["kind"]) for e in body["events"]]
            stored, evicted = "stored", "evicted"
            first = [(2, stored), (4, evicted), (5, stored)]
            assert observed == [*first, (7, stored), (8, evicted)]

        run_scenario(EngineOptions(cache_blocks=2, cache_gap=3), scenario)

    @pytest.mark.parametrize(("is_fenced", "late"), [(True, 409), (False, 200)])
    def test_outdated_order_is_refused_if_fenced(
        self, is_fenced: bool, late: int
    ) -> None:
        async def scenario(client: Client) -> None:
            orders = [
                {"fence": 2, "model": "new"},
                {"fence": 1, "model": "old"},
            ]
            sent = [await client.send("POST", "/v1/orders", o) for o in orders]
            assert [status for status, _ in sent] == [200, late]
            _, state = await client.send("GET", "/v1/orders")
            assert state["model"] == ("new" if is_fenced else "old")

        run_scenario(EngineOptions(is_fenced=is_fenced), scenario)


class TestFaults:
    """Faults that are set while the engine runs."""

    def test_crash_on_text_ends_all_streams_and_is_counted(self) -> None:
        """Guards against a crash that spares the engine's other requests.

        A request with the text of `crash_on` starts while a stream runs: all
        streams must end, and the engine must refuse connections.
        """

        async def scenario(client: Client) -> None:
            client.engine.control.crash_on = "poison"
            async with client.ask("r1", stream=True) as answer:
                with pytest.raises(aiohttp.ClientError):
                    async with client.ask("r2", "some poison") as other:
                        await other.read()
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()
            with pytest.raises(aiohttp.ClientConnectorError):
                await client.send("GET", "/v1/load")
            assert client.engine.control.ran == {"r1": 1, "r2": 1}
            await client.engine.restart()
            _, load = await client.send("GET", "/v1/load")
            assert load["running"] == 0

        run_scenario(attrs.evolve(ENDLESS, slots=2), scenario)

    def test_silenced_connections_stay_silent(self) -> None:
        """Guards against a silenced connection that breaks or recovers.

        The open connections are silenced while a stream runs: its answer ends
        without reaching the reader, and a request on a new connection is
        answered.
        """

        async def scenario(client: Client) -> None:
            async with client.ask("r1", stream=True) as answer:
                await answer.content.readany()
                client.engine.silence_open()
                reading = asyncio.create_task(answer.read())
                await client.wait_for_load("running", 0)
                async with client.ask("r2", stream=True) as other:
                    assert (await other.read()).endswith(b"[DONE]\n\n")
                assert not reading.done()
                reading.cancel()

        run_scenario(EngineOptions(interval_s=0.001), scenario)

    def test_silent_engine_crashes_and_restarts(self) -> None:
        """Guards against a silent engine that can't crash or restart.

        The engine becomes silent, crashes and restarts by itself. A request
        that hangs must fail with the crash; once the fault is cleared, later
        requests are answered.
        """

        async def scenario(client: Client) -> None:
            await client.send("POST", "/control", {"silent": True})
            asking = asyncio.create_task(client.send("POST", "/v1/cancel/r1"))
            # Lets the request use the pooled connection, so that it is sent
            # before the crash command, which needs a new connection.
            await asyncio.sleep(0)
            commands = {"crash": True, "restart_after_s": 0.001}
            with contextlib.suppress(aiohttp.ClientError):
                await client.send("POST", "/control", commands)
            with pytest.raises(aiohttp.ServerDisconnectedError):
                await asking
            status = 0
            while status != 200:
                with contextlib.suppress(aiohttp.ClientError):
                    command = {"silent": False}
                    status, _ = await client.send("POST", "/control", command)
            await client.wait_for_load("running", 0)

        run_scenario(EngineOptions(), scenario)

    def test_truncated_unstreamed_answer_is_detectable(self) -> None:
        """Guards against a truncated answer that looks complete.

        An answer without streaming is cut off after three tokens: its body
        must be shorter than its Content-Length, which the client reports.
        """

        async def scenario(client: Client) -> None:
            client.engine.control.truncate = 3
            with pytest.raises(aiohttp.ClientPayloadError):
                async with client.ask("r1") as answer:
                    await answer.read()

        run_scenario(EngineOptions(), scenario)

    def test_held_stream_waits_until_the_hold_is_cleared(self) -> None:
        """Guards against a stream that completes before a test's next step.

        A long interval between tokens alone does not prevent this on a busy
        machine. A held stream must stop at its token until the hold is
        cleared, however long that takes.
        """

        async def scenario(client: Client) -> None:
            client.engine.control.hold = 3
            async with client.ask("r1", stream=True) as answer:
                first = b""
                while join_tokens(parse_events(first)) != expected_text(
                    "hello", 3
                ):
                    first += await answer.content.readany()
                _, load = await client.send("GET", "/v1/load")
                assert load["running"] == 1
                client.engine.control.hold = 0
                whole = parse_events(first + await answer.read())
            assert join_tokens(whole) == expected_text("hello", 16)

        run_scenario(EngineOptions(), scenario)

    def test_new_pace_applies_to_the_next_token(self) -> None:
        """Guards against an engine that stays slow after its fault is cleared.

        A stream is slowed to an hour per token, then the factor is reset, or
        the engine crashes and restarts. If the next step stayed scheduled at
        the slow pace, later requests would wait for it and time out.
        """

        async def scenario(client: Client) -> None:
            client.engine.control.straggle = 720_000.0
            async with client.ask("r1", stream=True) as answer:
                await answer.content.read(0)
                client.engine.control.straggle = 1.0
                assert "[DONE]" in parse_events(await answer.read())
            client.engine.control.straggle = 720_000.0
            async with client.ask("r2", stream=True):
                client.engine.crash()
                await client.engine.restart()
            client.engine.control.straggle = 1.0
            async with client.ask("r3", stream=True) as answer:
                assert "[DONE]" in parse_events(await answer.read())

        run_scenario(EngineOptions(interval_s=0.005), scenario)

    @pytest.mark.parametrize(
        "command", [{"no_such": 1}, {"draining": 1}, {"ran": {}}]
    )
    def test_invalid_commands_are_rejected(self, command: Any) -> None:
        async def scenario(client: Client) -> None:
            status, _ = await client.send("POST", "/control", command)
            assert status == 400

        run_scenario(EngineOptions(), scenario)
