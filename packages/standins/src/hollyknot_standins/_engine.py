"""Simulates a model engine with OpenAI's API, batching and prefix cache."""

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any, cast

import attrs
import orjson
from aiohttp import web

from hollyknot_standins._openai import Prompt
from hollyknot_standins._prefix_cache import PrefixCache
from hollyknot_standins._scheduler import (
    Emit,
    End,
    Pace,
    Scheduler,
    Sequence,
)
from hollyknot_standins._server import (
    Faults,
    ServerOptions,
    Standin,
    flag,
    hang,
    json_body,
    number,
    refused,
    serving,
    text,
)

LOWEST_PRIORITY = 3
"""Priority of a request that states none."""
MAX_UNREAD_BYTES = 65_536
"""Unsent bytes of a stream beyond which its sequence pauses."""
CANCELLED_STATUS = 499
"""HTTP status of the answer to a cancelled request."""


@attrs.frozen
class EngineOptions(ServerOptions):
    """Capacity and timing of a simulated engine.

    Attributes:
        slots: Sequences that run at once, as one batch.
        queue: Sequences that may wait for a slot; further ones are refused.
        interval_s: Seconds between the tokens of a stream; 0 for as fast as
            its reader accepts them.
        first_token_s: Seconds from the start of a sequence to its first token.
        prefill_s_per_kib: Additional seconds until the first token for each
            KiB of the prompt that is not cached.
        min_tokens: Fewest tokens of an answer; the hash of the prompt selects
            a number from this to `max_tokens`.
        max_tokens: Most tokens of an answer.
        cache_blocks: Capacity of the prefix cache in blocks of 256 bytes.
        cache_lag_s: Seconds until a cache event can be read.
        cache_gap: Every so many cache events one is lost; 0 for none.
        load_lag_s: Shortest time in seconds between two measurements of the
            load; 0 to measure on each read.
        is_fenced: Whether orders with an older fencing number are refused.
    """

    name: str = "engine"
    slots: int = 8
    queue: int = 64
    interval_s: float = 0.0
    first_token_s: float = 0.0
    prefill_s_per_kib: float = 0.0
    min_tokens: int = 16
    max_tokens: int = 16
    cache_blocks: int = 1024
    cache_lag_s: float = 0.0
    cache_gap: int = 0
    load_lag_s: float = 0.0
    is_fenced: bool = True


@attrs.define
class EngineControl(Faults):
    """Faults of an engine, and counts of what it ran.

    Attributes:
        draining: Whether new requests are refused; running ones are finished.
        straggle: Factor by which all times of the engine are multiplied.
        truncate: Number of tokens after which answers are cut off; 0 for none.
        hold: Number of tokens after which answers wait while this is set; 0
            for none. Unlike a long interval between tokens, it keeps an answer
            unfinished however slow the machine is.
        crash_on: Text that crashes the engine when a request whose prompt
            contains it starts; empty for none.
        ran: Number of starts of each request, by its identifier.
        resumed: Number of times each request was resumed, by its identifier.
    """

    draining: bool = flag()
    straggle: float = number(1.0)
    truncate: int = number(0)
    hold: int = number(0)
    crash_on: str = text()
    ran: Counter[str] = attrs.field(factory=Counter)
    resumed: Counter[str] = attrs.field(factory=Counter)


class _Engine:
    """The state of an engine, which its HTTP routes use."""

    def __init__(self, options: EngineOptions) -> None:
        """Builds an idle engine with an empty cache."""
        self.options = options
        self.control = EngineControl()
        self.standin = Standin(self.control)
        self.scheduler = Scheduler(
            options.slots, options.queue, self._pace, self._on_start
        )
        self.cache = PrefixCache(
            options.cache_blocks, options.cache_gap, time.monotonic
        )
        self.order: dict[str, Any] = {"fence": 0}
        self.load: dict[str, Any] = {}
        self.load_at_s = -1e9
        self.standin.on_crash = self._drop_state

    def _pace(self) -> Pace:
        interval_s = self.options.interval_s * self.control.straggle
        return Pace(interval_s, self.control.truncate, self.control.hold)

    def _on_start(self, prompt: Prompt, position: int) -> None:
        counts = self.control.resumed if position else self.control.ran
        counts[prompt.request_id] += 1
        if self.control.crash_on and self.control.crash_on in prompt.text:
            self.standin.crash()

    def _drop_state(self) -> None:
        self.scheduler.drop_all()
        self.cache.clear()

    def measured_load(self) -> dict[str, Any]:
        """Returns the load, measured again if the last one is old enough."""
        now_s = time.monotonic()
        age_s = now_s - self.load_at_s
        if age_s >= self.options.load_lag_s:
            self.load_at_s = now_s
            self.load = {
                "running": self.scheduler.running,
                "queued": self.scheduler.queued,
                "slots": self.options.slots,
                "kv_used": self.cache.used,
                "draining": self.control.draining,
            }
        age_ms = int((now_s - self.load_at_s) * 1000)
        return {**self.load, "measured_ms_ago": age_ms}

    async def run(
        self, request: web.Request, prompt: Prompt, after: int, streams: bool
    ) -> web.StreamResponse:
        """Runs a prompt from token `after` on and sends the answer."""
        if self.scheduler.is_full:
            return refused("full")
        cached = self.cache.look_up_and_store(prompt.text.encode())
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        response.enable_chunked_encoding()
        if streams:
            await response.prepare(request)
        sequence = Sequence(
            prompt=prompt,
            priority=int(request.headers.get("X-Priority", LOWEST_PRIORITY)),
            position=after,
            prefill_s=self._prefill_s(prompt, cached),
            emit=self._emit(request, prompt) if streams else _emit_nothing,
            done=asyncio.get_running_loop().create_future(),
        )
        self.scheduler.submit(sequence)
        try:
            end = await sequence.done
        except asyncio.CancelledError:
            self.scheduler.finish(sequence, End.CANCELLED)
            raise
        if self.standin.is_silent(request):
            await hang()
        if not streams:
            return await _respond_at_once(request, prompt, cached, end)
        is_complete = end is End.COMPLETE
        await response.write_eof(
            prompt.stream_end(cached) if is_complete else b""
        )
        return response

    def _prefill_s(self, prompt: Prompt, cached: int) -> float:
        fresh_kib = (len(prompt.text.encode()) - cached) / 1024
        fresh_s = fresh_kib * self.options.prefill_s_per_kib
        return (self.options.first_token_s + fresh_s) * self.control.straggle

    def _emit(self, request: web.Request, prompt: Prompt) -> Emit:
        transport = cast(asyncio.Transport, request.transport)
        head, tail = prompt.token_frame()

        def emit(start: int, stop: int) -> bool:
            if transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
                return False
            if transport.is_closing() or self.standin.is_silent(request):
                return True
            tokens = [head + prompt.token(i) + tail for i in range(start, stop)]
            data = b"".join(tokens)
            # Written to the transport directly, because the response's write
            # is a coroutine that waits for a slow reader: one slow reader
            # would delay the step of all other sequences.
            transport.write(b"%x\r\n%b\r\n" % (len(data), data))
            return True

        return emit


def _emit_nothing(_start: int, _stop: int) -> bool:
    return True


async def _respond_at_once(
    request: web.Request, prompt: Prompt, cached: int, end: End
) -> web.StreamResponse:
    if end is End.CANCELLED:
        return json_body({"error": {"message": "cancelled"}}, CANCELLED_STATUS)
    answer = prompt.complete_answer(cached)
    if end is End.COMPLETE:
        return json_body(answer)
    # Truncated: half of the body, with the length of the complete body.
    body = orjson.dumps(answer)
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    cast(asyncio.Transport, request.transport).close()
    return response


def _unknown_request() -> web.Response:
    return json_body({"error": {"message": "unknown request"}}, 404)


def _answer_routes(engine: _Engine, routes: web.RouteTableDef) -> None:
    options = engine.options
    scheduler = engine.scheduler

    @routes.post("/v1/chat/completions")
    @routes.post("/v1/completions")
    async def complete(request: web.Request) -> web.StreamResponse:
        if engine.control.draining:
            return refused("draining")
        request_id = request.headers.get("X-Request-Id", f"none-{id(request)}")
        try:
            body = orjson.loads(await request.read())
            prompt = Prompt.parse(
                body, request_id, options.min_tokens, options.max_tokens
            )
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            return json_body({"error": {"message": repr(error)}}, 400)
        return await engine.run(request, prompt, 0, bool(body.get("stream")))

    @routes.get("/v1/resume/{request_id}")
    async def resume(request: web.Request) -> web.StreamResponse:
        request_id = request.match_info["request_id"]
        prompt = scheduler.find_prompt(request_id)
        after = int(request.query.get("after", "0"))
        if prompt is None or not 0 <= after <= prompt.length:
            return _unknown_request()
        scheduler.cancel_request(request_id)
        return await engine.run(request, prompt, after, True)

    @routes.post("/v1/cancel/{request_id}")
    async def cancel(request: web.Request) -> web.Response:
        count = scheduler.cancel_request(request.match_info["request_id"])
        return json_body({"cancelled": count})


def _cache_routes(engine: _Engine, routes: web.RouteTableDef) -> None:
    @routes.get("/v1/cache-events")
    async def cache_events(request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = engine.cache.events(after, engine.options.cache_lag_s)
        return json_body({"events": [attrs.asdict(e) for e in events]})

    @routes.post("/v1/kv/export")
    async def kv_export(request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        prompt = engine.scheduler.find_prompt(body["request_id"])
        return json_body(attrs.asdict(prompt)) if prompt else _unknown_request()

    @routes.post("/v1/kv/import")
    async def kv_import(request: web.Request) -> web.Response:
        prompt = Prompt(**orjson.loads(await request.read()))
        engine.scheduler.store_prompt(prompt)
        engine.cache.look_up_and_store(prompt.text.encode())
        return json_body({})


def _operator_routes(engine: _Engine, routes: web.RouteTableDef) -> None:
    @routes.get("/v1/load")
    async def load(_request: web.Request) -> web.Response:
        return json_body(engine.measured_load())

    @routes.get("/v1/orders")
    async def get_order(_request: web.Request) -> web.Response:
        return json_body(engine.order)

    @routes.post("/v1/orders")
    async def post_order(request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        if engine.options.is_fenced and order["fence"] < engine.order["fence"]:
            return json_body(engine.order, 409)
        engine.order = {**engine.order, **order}
        return json_body(engine.order)

    @routes.get("/control/ran")
    async def ran(_request: web.Request) -> web.Response:
        control = engine.control
        counts = {"ran": control.ran, "resumed": control.resumed}
        return json_body({**counts, "tokens": engine.scheduler.tokens})


@contextlib.asynccontextmanager
async def start_engine(
    options: EngineOptions,
) -> AsyncIterator[Standin[EngineControl]]:
    """Runs an engine until the context ends."""
    engine = _Engine(options)
    routes = web.RouteTableDef()
    _answer_routes(engine, routes)
    _cache_routes(engine, routes)
    _operator_routes(engine, routes)
    async with serving(engine.standin, options, routes):
        yield engine.standin
