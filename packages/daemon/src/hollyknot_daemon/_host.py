"""One host: owns every server, client, task and decision of its process."""

import asyncio
import contextlib
import random
from collections.abc import Coroutine

from hollyknot_coordination.claims import ClaimOptions
from hollyknot_daemon._control import Control
from hollyknot_daemon._dispatch import Dispatcher
from hollyknot_daemon._documents import Documents
from hollyknot_daemon._flow import FlowParts, caller_handler
from hollyknot_daemon._in_force import InForce
from hollyknot_daemon._probes import Probes
from hollyknot_daemon._record import Recorder
from hollyknot_daemon._status import status_document
from hollyknot_daemon._tries import Tries
from hollyknot_state import Reason, Settings
from hollyknot_transport import (
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
_READY = Readiness(True, "ready")
_LEARNING = Readiness(False, "This host has not learnt its configuration yet")
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
        """Makes the parts; nothing listens yet.

        Args:
            settings: Checked settings.
            rng: The source of all random choices of this host.
            claim_options: Times of the claims, to shorten them in tests.
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
        """The port on which callers are served."""
        return self._callers_port

    @property
    def operators_port(self) -> int:
        """The port on which operators are served."""
        return self._operators_port

    @property
    def links_port(self) -> int:
        """The port on which other hosts are served."""
        return self._control.links_port

    @property
    def readiness(self) -> Readiness:
        """Whether the balancer may send callers here."""
        if self._is_stopping:
            return _STOPPING
        if not self._control.is_ready:
            return _LEARNING
        return _READY

    async def __aenter__(self) -> "Host":
        """Starts to listen and to learn.

        Raises:
            OSError: An address can't be listened on.
        """
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Closes everything at once."""
        await self._stack.aclose()

    async def stop(self) -> None:
        """Stops gracefully: interrupts no request in flight.

        New work is refused at once and the balancer is told by `/readyz`. It
        returns when the last answer is out, or after `stop_grace_s`.
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
        await self._control.hand_over()
        _LOG.info("stopped", in_work=self._callers.in_work)
        self._stopped.set()

    async def stopped(self) -> None:
        """Waits for the end of a graceful stop."""
        await self._stopped.wait()

    def status(self) -> dict[str, object]:
        """Returns what `GET /status` shows."""
        clock = asyncio.get_running_loop().time
        return status_document(
            self._settings,
            self.readiness,
            self._documents.view,
            self._dispatcher.table.view(clock()),
            self._recorder.tallies,
            self._control.view(),
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
        self._control = Control(
            settings,
            self._rng,
            self._documents,
            dispatcher,
            self._claim_options,
            tracing,
        )
        await stack.enter_async_context(self._control)
        tries = Tries(
            dispatcher, exchanges, self._recorder, tracing, self._rng, clock
        )
        parts = FlowParts(
            in_force=lambda: self._documents.view,
            readiness=lambda: self.readiness,
            tries=tries,
            claim=self._control.claim,
            tracing=tracing,
            max_body_bytes=settings.max_body_bytes,
        )
        await self._listen(stack, parts)
        self._spawn(stack, self._tick_for_ever())
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
        self._callers = CallerServer(caller_handler(parts))
        runner, port = await start_server(self._callers, self._settings.callers)
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

    def _on_change(self, view: InForce) -> None:
        # Declarations change far more often than the host list, and the
        # upstreams don't follow from them.
        if view.hosts.revision != self._listed_revision:
            self._listed_revision = view.hosts.revision
            self._dispatcher.on_host_list(view.hosts)
        self._control.on_view(view)
        versions = {
            "declarations": view.declarations.version,
            "hosts": view.hosts.revision,
        }
        for name, version in versions.items():
            self._metrics.version.set({"document": name}, version)

    async def _tick_for_ever(self) -> None:
        clock = asyncio.get_running_loop().time
        sweep_at = clock()
        forget_at = clock()
        while True:
            await asyncio.sleep(_TICK_S)
            # One bad tick must not end all later ones: queued requests would
            # then never expire, and nobody would see why.
            try:
                self._dispatcher.tick()
                self._control.tick()
                self._probes.start_due()
                if clock() >= sweep_at:
                    sweep_at = clock() + _SWEEP_S
                    self._sweep(clock())
                if clock() >= forget_at:
                    forget_at = clock() + _FORGET_S
                    self._control.forget()
            except Exception:
                _LOG.exception("tick-failed")

    def _sweep(self, now_s: float) -> None:
        self._guard.sweep(now_s)
        self._callers.sweep(now_s)
        self._dispatcher.expire()
        self._probes.start_reports()
        self._metrics.queued.set({}, self._dispatcher.queued)
        for upstream in self._dispatcher.table.view(now_s):
            labels = {"upstream": upstream.name}
            self._metrics.in_flight.set(labels, upstream.in_flight)
            self._metrics.limit.set(labels, upstream.limit)
