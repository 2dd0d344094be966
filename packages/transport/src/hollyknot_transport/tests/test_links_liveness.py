"""Tests of when a link is pinged, lost or idle, and of its outbox."""

import asyncio

import pytest

from hollyknot_transport._links import LinkLimits
from hollyknot_transport._links_liveness import Liveness, LivenessAction
from hollyknot_transport._links_outbox import Outbox, Outgoing

_LIMITS = LinkLimits(
    ping_after_s=2.0, one_way_ping_after_s=15.0, stall_s=3.0, idle_s=60.0
)
_NONE, _PING, _LOST, _IDLE = LivenessAction

Steps = list[tuple[str, float] | tuple[str, float, LivenessAction]]


class TestLiveness:
    """Tests of `Liveness.check`.

    A step is an event and its time, or a check, its time and the action that
    it must return. A "due" check is one while a reply is due.
    """

    @pytest.mark.parametrize(
        "steps",
        [
            pytest.param(
                [
                    ("sent", 10),
                    ("due", 11.9, _NONE),
                    ("due", 12, _PING),
                    ("due", 14.9, _NONE),
                    ("due", 15, _LOST),
                ],
                id="a call without a byte back",
            ),
            pytest.param(
                [
                    ("sent", 10),
                    ("due", 12, _PING),
                    ("bytes", 12.5),
                    ("due", 14.4, _NONE),
                    ("due", 14.5, _PING),
                ],
                id="a slow call on a link that answers pings",
            ),
            pytest.param(
                [
                    ("sent", 10),
                    ("check", 24.9, _NONE),
                    ("check", 25, _PING),
                    ("check", 28, _LOST),
                ],
                id="one-way messages alone",
            ),
            pytest.param(
                [("sent", 10), ("sent", 24), ("check", 25, _PING)],
                id="later messages do not put the ping off",
            ),
            pytest.param(
                [("use", 10), ("check", 69.9, _NONE), ("check", 70, _IDLE)],
                id="replies alone lead to no ping",
            ),
            pytest.param(
                [("use", 10), ("bytes", 50), ("check", 70, _IDLE)],
                id="pongs do not keep a link open",
            ),
            pytest.param(
                [("use", 10), ("bytes", 69), ("due", 70, _NONE)],
                id="a link with a call is not idle",
            ),
        ],
    )
    def test_check_returns_the_action_that_is_due(self, steps: Steps) -> None:
        liveness = Liveness(_LIMITS, _LIMITS.idle_s, 0.0)
        handlers = {
            "sent": liveness.on_message_sent,
            "bytes": liveness.on_bytes,
            "use": liveness.on_use,
        }
        for name, now_s, *expected in steps:
            if name in handlers:
                handlers[name](now_s)
                continue
            action = liveness.check(now_s, is_reply_due=name == "due")
            assert [action] == expected, f"{name} at {now_s}"


class TestOutbox:
    """Tests of the queue's bounds and of cancelled frames."""

    @pytest.mark.parametrize(
        ("sizes", "fits"),
        [
            ([], True),
            ([10, 10], True),
            ([10, 10, 10], False),
            ([95], False),
            ([94], True),
        ],
    )
    def test_is_bounded_by_messages_and_bytes(
        self, sizes: list[int], fits: bool
    ) -> None:
        outbox = Outbox(max_messages=3, max_bytes=100)
        for size in sizes:
            assert outbox.put(Outgoing("x", bytes(size)))
        assert outbox.put(Outgoing("x", bytes(6))) is fits

    def test_a_cancelled_frame_is_never_written(self) -> None:
        """Guards against running a request that was reported as not run.

        A call times out while its frame is queued, and its caller learns that
        the peer never received it. The writer must not send the frame later.
        """
        outbox = Outbox(max_messages=3, max_bytes=100)
        items = [Outgoing("x", b"1"), Outgoing("x", b"2")]
        for item in items:
            outbox.put(item)
        items[0].is_cancelled = True
        assert asyncio.run(outbox.next_batch()) == items[1:]
        assert [item.is_written for item in items] == [False, True]
        assert outbox.put(Outgoing("x", bytes(100)))
