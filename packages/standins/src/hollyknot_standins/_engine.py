"""A model engine: the OpenAI shapes over a scheduler and a prefix cache."""

import asyncio
import contextlib
import time
import zlib
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any, cast

import attrs
import orjson
from aiohttp import web

from hollyknot_standins._prefix_cache import PrefixCache
from hollyknot_standins._scheduler import (
    Emit,
    End,
    Pace,
    Prompt,
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
UNREAD_BYTES = 65_536
"""Bytes that a stream's reader may be behind before its sequence stops."""
CANCELLED_STATUS = 499


@attrs.frozen
class EngineOptions(ServerOptions):
    """What an engine can do.

    Attributes:
        slots: Sequences in a batch.
        queue: Sequences that may wait for a slot; more are refused.
        interval_s: Seconds between the tokens of a stream; 0 for as fast as
            its reader takes them.
        first_token_s: Seconds from a start to the first token.
        prefill_s_per_kib: Further seconds for each KiB that is not cached.
        min_tokens: The shortest answer; the prompt decides by its hash.
        max_tokens: The longest answer.
        cache_blocks: Blocks of 256 bytes in the prefix cache.
        cache_lag_s: The age from which cache events are told.
        cache_gap: One cache event in so many is lost; 0 for none.
        load_lag_s: Seconds between measures of the load; 0 for at each read.
        is_fenced: Whether orders with an old fencing number are refused.
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
    """An engine's faults and records.

    Attributes:
        draining: New work is refused; what runs is finished.
        straggle: A factor on all its times.
        truncate: The token after which answers are cut; 0 for none.
        crash_on: Text in a body whose start crashes the engine.
        load_frozen: The load report is no longer measured.
        ran: How often each request was started, by its id.
        resumed: How often each request was resumed, by its id.
    """

    draining: bool = flag()
    straggle: float = number(1.0)
    truncate: int = number(0)
    crash_on: str = text()
    load_frozen: bool = flag()
    ran: Counter[str] = attrs.field(factory=Counter)
    resumed: Counter[str] = attrs.field(factory=Counter)


class _Engine:
    """The state behind the routes."""

    def __init__(self, options: EngineOptions) -> None:
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
        self.standin.on_crash = self._forget

    def _pace(self) -> Pace:
        interval_s = self.options.interval_s * self.control.straggle
        return Pace(interval_s, self.control.truncate)

    def _on_start(self, prompt: Prompt, position: int) -> None:
        counts = self.control.resumed if position else self.control.ran
        counts[prompt.request_id] += 1
        if self.control.crash_on and self.control.crash_on in prompt.text:
            self.standin.crash()

    def _forget(self) -> None:
        self.scheduler.forget()
        self.cache.clear()

    def measured_load(self) -> dict[str, Any]:
        """The load report, measured anew if it is old enough."""
        now_s = time.monotonic()
        age_s = now_s - self.load_at_s
        if not self.control.load_frozen and age_s >= self.options.load_lag_s:
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
        self,
        request: web.Request,
        prompt: Prompt,
        priority: int,
        after: int,
        streams: bool,
    ) -> web.StreamResponse:
        """Runs a prompt from a token on and answers it."""
        if self.control.draining:
            return refused("draining")
        if self.scheduler.is_full:
            return refused("full")
        prompt_bytes = prompt.text.encode()
        cached = self.cache.hit(prompt_bytes)
        fresh_kib = (len(prompt_bytes) - cached) / 1024
        prefill_s = (
            self.options.first_token_s
            + fresh_kib * self.options.prefill_s_per_kib
        )
        response = _stream_response(prompt) if streams else None
        if response is not None:
            await response.prepare(request)
        emit = self._stream(request, prompt) if streams else _ignore
        sequence = Sequence(
            prompt=prompt,
            priority=priority,
            position=after,
            prefill_s=prefill_s * self.control.straggle,
            emit=emit,
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
        usage = _usage(prompt, cached)
        if response is not None:
            last = _stream_end(prompt, usage) if end is End.COMPLETE else b""
            await response.write_eof(last)
            return response
        return await _whole(request, prompt, usage, end)

    def _stream(self, request: web.Request, prompt: Prompt) -> Emit:
        transport = cast(asyncio.Transport, request.transport)
        head, tail = _token_frame(prompt)

        def emit(start: int, stop: int) -> bool:
            if transport.get_write_buffer_size() > UNREAD_BYTES:
                return False
            if transport.is_closing() or self.standin.is_silent(request):
                return True
            tokens = [
                head
                + (b" t%d" % i if i else orjson.dumps(prompt.token(0))[1:-1])
                + tail
                for i in range(start, stop)
            ]
            data = b"".join(tokens)
            # Written to the transport and not by the response, whose write is
            # a coroutine that waits for a slow reader: one slow reader would
            # hold up the step of all other sequences.
            transport.write(b"%x\r\n%b\r\n" % (len(data), data))
            return True

        return emit


def _ignore(_start: int, _stop: int) -> bool:
    return True


def _stream_response(prompt: Prompt) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "X-Request-Id": prompt.request_id,
        }
    )
    response.enable_chunked_encoding()
    return response


def _event(prompt: Prompt, choices: list[Any], **more: Any) -> bytes:
    kind = "chat.completion.chunk" if prompt.is_chat else "text_completion"
    event = {
        "id": prompt.request_id,
        "object": kind,
        "model": prompt.model,
        "choices": choices,
        **more,
    }
    return b"data: " + orjson.dumps(event) + b"\n\n"


def _choice(prompt: Prompt, token: str, finish: str | None) -> dict[str, Any]:
    content: dict[str, Any] = (
        {"delta": {"content": token}} if prompt.is_chat else {"text": token}
    )
    return {"index": 0, **content, "finish_reason": finish}


def _token_frame(prompt: Prompt) -> tuple[bytes, bytes]:
    mark = "@token@"
    event = _event(prompt, [_choice(prompt, mark, None)])
    head, _, tail = event.rpartition(mark.encode())
    return head, tail


def _stream_end(prompt: Prompt, usage: dict[str, Any]) -> bytes:
    last = _event(prompt, [_choice(prompt, "", "stop")])
    return last + _event(prompt, [], usage=usage) + b"data: [DONE]\n\n"


def _usage(prompt: Prompt, cached: int) -> dict[str, Any]:
    tokens = len(prompt.text) // 4
    return {
        "prompt_tokens": tokens,
        "completion_tokens": prompt.length,
        "total_tokens": tokens + prompt.length,
        "prompt_tokens_details": {"cached_tokens": cached // 4},
    }


async def _whole(
    request: web.Request, prompt: Prompt, usage: dict[str, Any], end: End
) -> web.StreamResponse:
    if end is End.CANCELLED:
        return json_body({"error": {"message": "cancelled"}}, CANCELLED_STATUS)
    answer = prompt.answer()
    content: dict[str, Any] = (
        {"message": {"role": "assistant", "content": answer}}
        if prompt.is_chat
        else {"text": answer}
    )
    response = json_body(
        {
            "id": prompt.request_id,
            "object": "chat.completion"
            if prompt.is_chat
            else "text_completion",
            "model": prompt.model,
            "choices": [{"index": 0, **content, "finish_reason": "stop"}],
            "usage": usage,
        }
    )
    response.headers["X-Request-Id"] = prompt.request_id
    if end is End.TRUNCATED:
        return await _cut(request, response)
    return response


async def _cut(request: web.Request, whole: web.Response) -> web.StreamResponse:
    """Sends half of a body under the whole's length and closes."""
    body = cast(bytes, whole.body)
    response = web.StreamResponse(headers={"Content-Length": str(len(body))})
    await response.prepare(request)
    await response.write(body[: len(body) // 2])
    cast(asyncio.Transport, request.transport).close()
    return response


def _routes(engine: _Engine) -> web.RouteTableDef:
    routes = web.RouteTableDef()
    options = engine.options

    def prompt_of(request: web.Request, body: dict[str, Any]) -> Prompt:
        is_chat = "messages" in body
        messages = body.get("messages") or [
            {"role": "user", "content": body.get("prompt", "")}
        ]
        whole = "\n".join(f"{m['role']}:{m['content']}" for m in messages)
        spread = options.max_tokens - options.min_tokens + 1
        length = options.min_tokens + zlib.crc32(whole.encode()) % spread
        return Prompt(
            request_id=request.headers.get(
                "X-Request-Id", f"none-{id(request)}"
            ),
            model=str(body.get("model", "")),
            text=whole,
            message=str(messages[-1]["content"]),
            length=max(min(length, int(body.get("max_tokens") or length)), 1),
            is_chat=is_chat,
        )

    @routes.post("/v1/chat/completions")
    @routes.post("/v1/completions")
    async def complete(request: web.Request) -> web.StreamResponse:
        try:
            body = orjson.loads(await request.read())
            prompt = prompt_of(request, body)
        except (
            orjson.JSONDecodeError,
            AttributeError,
            KeyError,
            TypeError,
        ) as error:
            return json_body({"error": {"message": repr(error)}}, 400)
        priority = int(request.headers.get("X-Priority", LOWEST_PRIORITY))
        streams = bool(body.get("stream"))
        return await engine.run(request, prompt, priority, 0, streams)

    @routes.get("/v1/resume/{request_id}")
    async def resume(request: web.Request) -> web.StreamResponse:
        request_id = request.match_info["request_id"]
        prompt = engine.scheduler.remembered(request_id)
        after = int(request.query.get("after", "0"))
        if prompt is None or not 0 <= after <= prompt.length:
            return json_body({"error": {"message": "unknown request"}}, 404)
        engine.scheduler.cancel_request(request_id)
        priority = int(request.headers.get("X-Priority", LOWEST_PRIORITY))
        return await engine.run(request, prompt, priority, after, True)

    @routes.post("/v1/cancel/{request_id}")
    async def cancel(request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        return json_body(
            {"cancelled": engine.scheduler.cancel_request(request_id)}
        )

    @routes.get("/v1/load")
    async def load(_request: web.Request) -> web.Response:
        return json_body(engine.measured_load())

    @routes.get("/v1/cache-events")
    async def cache_events(request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        events = engine.cache.events(after, options.cache_lag_s)
        return json_body(
            {
                "events": [
                    {"seq": e.seq, "kind": e.kind, "prefix": e.prefix}
                    for e in events
                ]
            }
        )

    @routes.post("/v1/orders")
    async def post_order(request: web.Request) -> web.Response:
        order = orjson.loads(await request.read())
        if options.is_fenced and order["fence"] < engine.order["fence"]:
            return json_body(engine.order, 409)
        engine.order = {**engine.order, **order}
        return json_body(engine.order)

    @routes.get("/v1/orders")
    async def get_order(_request: web.Request) -> web.Response:
        return json_body(engine.order)

    @routes.post("/v1/kv/export")
    async def kv_export(request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        prompt = engine.scheduler.remembered(body["request_id"])
        if prompt is None:
            return json_body({"error": {"message": "unknown request"}}, 404)
        return json_body(attrs.asdict(prompt))

    @routes.post("/v1/kv/import")
    async def kv_import(request: web.Request) -> web.Response:
        prompt = Prompt(**orjson.loads(await request.read()))
        engine.scheduler.remember(prompt)
        engine.cache.hit(prompt.text.encode())
        return json_body({})

    @routes.get("/control/ran")
    async def ran(_request: web.Request) -> web.Response:
        return json_body(
            {
                "ran": engine.control.ran,
                "resumed": engine.control.resumed,
                "tokens": engine.scheduler.tokens,
            }
        )

    return routes


@contextlib.asynccontextmanager
async def start_engine(
    options: EngineOptions,
) -> AsyncIterator[Standin[EngineControl]]:
    """Serves an engine until the context ends."""
    engine = _Engine(options)
    async with serving(engine.standin, options, _routes(engine)) as standin:
        yield standin
