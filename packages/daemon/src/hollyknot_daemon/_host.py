"""Builds, runs and stops all parts of one host's process."""

import asyncio
import contextlib
import random
from collections.abc import Coroutine

from hollyknot_coordination.claims import ClaimOptions
from hollyknot_coordination.holding import (
    ByteBudget,
    default_capacity_bytes,
)
from hollyknot_daemon._control_plane import ControlPlane
from hollyknot_daemon._dispatch import Dispatcher
from hollyknot_daemon._documents import Documents
from hollyknot_daemon._documents_view import DocumentsView
from hollyknot_daemon._flow import FlowParts, caller_handler
from hollyknot_daemon._machine import connections, memory_bytes
from hollyknot_daemon._probes import Probes
from hollyknot_daemon._record import Recorder
from hollyknot_daemon._status import status_document
from hollyknot_daemon._tries import Tries
from hollyknot_state import Reason, Settings
from hollyknot_transport import (
    VALUE_BYTES,
    BodyLimits,
    CallerServer,
    Metrics,
    Readiness,
    StallGuard,
    Tracing,
    UpstreamClient,
    get_logger,
    operators_server,
    start_server,
)

DEFAULT_CLAIM_OPTIONS = ClaimOptions()
_LOG = get_logger("daemon")
_TICK_S = 0.1
_SWEEP_S = 1.0
_FORGET_S = 60.0
_MAX_BACKLOG = 1024
_PARSED_SHARE = 0.5
"""Memory of one parsed body, as a share of the budget. It is freed at once."""

_READY = Readiness(True, "ready")
_NOT_CONFIGURED = Readiness(
    False, "This host has not learnt its configuration yet"
)
_STOPPING = Readiness(False, "This host is stopping", Reason.STOPPING)


class Host:
    """A running host; an async context manager.

    Example:
        async with Host(settings, random.Random(1)) as host:
            await host.stopped()
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        claim_options: ClaimOptions = DEFAULT_CLAIM_OPTIONS,
    ) -> None:
        """Creates a host that does not listen yet.

        Args:
            settings: Validated settings of this host.
            rng: Source of all random choices of this host.
            claim_options: Timeouts and limits of claims, which tests shorten.
        """
        self._claim_options = claim_options
        self._settings = settings
        self._rng = rng
        self._stack = contextlib.AsyncExitStack()
        self._metrics = Metrics()
        self._guard = StallGuard()
        self._listed_revision = 0
        self._is_stopping = False
        self._stopped = asyncio.Event()

    @property
    def callers_port(self) -> int:
        """Port that accepts callers' requests."""
        return self._callers_port

    @property
    def operators_port(self) -> int:
        """Port that serves readiness, metrics and status to operators."""
        return self._operators_port

    @property
    def links_port(self) -> int:
        """Port that accepts links from other hosts."""
        return self._control_plane.links_port

    @property
    def readiness(self) -> Readiness:
        """Whether the load balancer may send callers' requests here."""
        if self._is_stopping:
            return _STOPPING
        if not self._control_plane.is_ready:
            return _NOT_CONFIGURED
        return _READY

    async def __aenter__(self) -> "Host":
        """Starts to listen and to obtain documents and claims from peers.

        Raises:
            OSError: An address can't be bound, or a TLS file can't be read.
        """
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Closes all parts without waiting for requests in flight."""
        await self._stack.aclose()

    async def stop(self) -> None:
        """Stops gracefully, without interrupting requests in flight.

        New requests are refused at once, and `/readyz` reports to the load
        balancer that this host is not ready. The method returns when the last
        answer has been sent, or after `stop_grace_s`, and when other hosts
        have learnt this host's claims, or after `handover_s`.
        """
        if self._is_stopping:
            return
        self._is_stopping = True
        self._callers.stop_keeping_alive()
        _LOG.info("stopping", in_work=self._callers.in_work)
        grace_s = self._settings.stop_grace_s or None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                await self._callers.idle()
        await self._control_plane.hand_over()
        _LOG.info("stopped", in_work=self._callers.in_work)
        self._stopped.set()

    async def stopped(self) -> None:
        """Waits until a graceful stop is complete."""
        await self._stopped.wait()

    def status(self) -> dict[str, object]:
        """Returns the document for `GET /status`."""
        clock = asyncio.get_running_loop().time
        return status_document(
            self._settings,
            self.readiness,
            self._documents.view,
            self._dispatcher.table.view(clock()),
            self._recorder.tallies,
            self._control_plane.view(),
        )

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._settings
        clock = asyncio.get_running_loop().time
        tracing = Tracing(
            settings.host, settings.data_centre, settings.trace_file
        )
        stack.callback(tracing.close)
        dispatcher = Dispatcher(
            settings.host, settings.data_centre, self._rng, clock
        )
        self._dispatcher = dispatcher
        self._recorder = Recorder(self._metrics)
        self._documents = Documents(self._on_change)
        exchanges = UpstreamClient(self._guard)
        stack.push_async_callback(exchanges.close)
        self._probes = Probes(dispatcher.table, clock)
        stack.push_async_callback(self._probes.close)
        self._control_plane = ControlPlane(
            settings,
            self._rng,
            self._documents,
            dispatcher,
            self._claim_options,
            tracing,
        )
        await stack.enter_async_context(self._control_plane)
        tries = Tries(
            dispatcher, exchanges, self._recorder, tracing, self._rng, clock
        )
        capacity_bytes = default_capacity_bytes(
            memory_bytes(settings.memory_mb)
        )
        parts = FlowParts(
            in_force=lambda: self._documents.view,
            readiness=lambda: self.readiness,
            tries=tries,
            claim=self._control_plane.claim,
            tracing=tracing,
            limits=BodyLimits(
                settings.max_body_bytes,
                int(capacity_bytes * _PARSED_SHARE / VALUE_BYTES),
            ),
            budget=ByteBudget(capacity_bytes),
            rng=self._rng,
        )
        await self._listen(stack, parts)
        self._spawn(stack, self._run_ticks())
        _LOG.info(
            "started",
            callers_port=self._callers_port,
            links_port=self.links_port,
            operators_port=self._operators_port,
        )

    async def _listen(
        self, stack: contextlib.AsyncExitStack, parts: FlowParts
    ) -> None:
        operators = operators_server(
            self._metrics, lambda: self.readiness, self.status
        )
        runner, port = await start_server(operators, self._settings.operators)
        stack.push_async_callback(runner.cleanup)
        self._operators_port = port
        most = connections(self._settings.max_connections)
        self._callers = CallerServer(caller_handler(parts), most)
        # What waits is accepted at once, before any connection is closed.
        backlog = min(_MAX_BACKLOG, max(1, most // 4))
        runner, port = await start_server(
            self._callers, self._settings.callers, backlog
        )
        stack.push_async_callback(runner.cleanup)
        self._callers_port = port

    def _spawn(
        self,
        stack: contextlib.AsyncExitStack,
        work: Coroutine[object, object, None],
    ) -> None:
        task = asyncio.ensure_future(work)

        async def end() -> None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        stack.push_async_callback(end)

    def _on_change(self, view: DocumentsView) -> None:
        # Declarations change far more often than the host list and don't
        # affect the upstreams, so the dispatcher is not updated for them.
        if view.hosts.revision != self._listed_revision:
            self._listed_revision = view.hosts.revision
            self._dispatcher.on_host_list(view.hosts)
        self._control_plane.on_view(view)
        versions = {
            "declarations": view.declarations.version,
            "hosts": view.hosts.revision,
        }
        for name, version in versions.items():
            self._metrics.version.set({"document": name}, version)

    async def _run_ticks(self) -> None:
        clock = asyncio.get_running_loop().time
        sweep_at = clock()
        forget_at = clock()
        while True:
            await asyncio.sleep(_TICK_S)
            # An exception in one tick must not end the loop: queued requests
            # would then never expire, and the log would not show why.
            try:
                self._dispatcher.tick()
                self._control_plane.tick()
                self._probes.start_due_probes()
                if clock() >= sweep_at:
                    sweep_at = clock() + _SWEEP_S
                    self._sweep(clock())
                if clock() >= forget_at:
                    forget_at = clock() + _FORGET_S
                    self._control_plane.forget()
            except Exception:
                _LOG.exception("tick-failed")

    def _sweep(self, now_s: float) -> None:
        self._guard.sweep(now_s)
        self._callers.sweep(now_s)
        self._dispatcher.expire()
        self._probes.request_reports()
        self._metrics.queued.set({}, self._dispatcher.queued)
        for upstream in self._dispatcher.table.view(now_s):
            labels = {"upstream": upstream.name}
            self._metrics.in_flight.set(labels, upstream.in_flight)
            self._metrics.limit.set(labels, upstream.limit)
