"""Tests the answers that a host gives by itself."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from hollyknot_gateway._answers import Answers
from hollyknot_gateway._grace import Grace


class _Reply:
    """Records what is done with an answer that has been begun."""

    def __init__(self, *, has_ended: bool) -> None:
        self.has_begun = True
        self.has_ended = has_ended
        self.is_aborted = False

    def abort_answer(self) -> None:
        self.is_aborted = True


def _answers(statuses: list[str]) -> Answers:
    def count(_: str, **labels: str) -> None:
        statuses.append(labels["status"])

    parts = SimpleNamespace(
        grace=Grace(lambda _: False, lambda: 0.0),
        log=SimpleNamespace(line=lambda *_, **__: None),
        metrics=SimpleNamespace(count=count),
    )
    return Answers(cast(Any, parts))


class TestDeadline:
    """Answers that have begun when the deadline passes."""

    @pytest.mark.parametrize(
        ("has_ended", "status"), [(True, "200"), (False, "0")]
    )
    def test_only_an_incomplete_answer_is_cut_off(
        self, has_ended: bool, status: str
    ) -> None:
        """Guards against a reset that destroys a complete answer.

        The last part of a stream arrives, and the deadline passes before the
        task of its request runs again.
        """
        statuses: list[str] = []
        reply = _Reply(has_ended=has_ended)
        job = SimpleNamespace(
            reply=reply,
            may_have_run=True,
            deadline_s=0.0,
            relayed_for="",
            route=SimpleNamespace(name="r"),
            service=SimpleNamespace(name="s"),
            customer="c",
            call=SimpleNamespace(attempt_id="a"),
        )
        _answers(statuses).time_out(cast(Any, job))
        assert reply.is_aborted is not has_ended
        assert statuses == [status]
