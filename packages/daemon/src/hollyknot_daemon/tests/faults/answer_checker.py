"""Checks every answer that callers got against what the upstreams ran."""

from collections import Counter
from collections.abc import Iterable

import attrs
import orjson

from hollyknot_standins import (
    EngineControl,
    ServiceControl,
    Standin,
    expected_text,
)

COMPLETE = "complete"
NOT_RUN = "not-run"
_DONE = b"data: [DONE]"


@attrs.frozen
class Answer:
    """The answer to one request as its caller saw it.

    Attributes:
        host: Name of the host to which the request was sent.
        sent: Text or body that was sent; a complete answer contains it.
        key: Idempotency key; empty if the request had none.
        is_streamed: Whether a stream of events was requested.
        status: HTTP status; 0 if the connection was lost before it.
        verdict: Verdict of the answer; empty if it had none.
        reason: Reason of a refusal; empty otherwise.
        request_id: Request id of the answer; empty if the connection was lost
            before it.
        retry_after: Value of `Retry-After` in seconds; empty if absent.
        body: Bytes of the body that were read.
        is_whole: Whether the end of the body was read.
    """

    host: str
    sent: str
    key: str = ""
    is_streamed: bool = False
    status: int = 0
    verdict: str = ""
    reason: str = ""
    request_id: str = ""
    retry_after: str = ""
    body: bytes = attrs.field(default=b"", repr=lambda b: repr(b[-200:]))
    is_whole: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether the verdict says that the answer is complete."""
        return self.verdict == COMPLETE


class AnswerChecker:
    """Checks that the verdicts of all answers so far are true.

    Earlier answers are checked again each time, since a request that was
    answered as not run must not run later either.
    """

    def __init__(
        self,
        engines: Iterable[Standin[EngineControl]],
        services: Iterable[Standin[ServiceControl]],
        tokens: int,
    ) -> None:
        """Builds a checker without answers.

        Args:
            engines: All engines that may run a request.
            services: All services that may run a call.
            tokens: Length of each engine's answer, in tokens.
        """
        self._engines = list(engines)
        self._services = list(services)
        self._tokens = tokens
        self._answers: list[Answer] = []
        self._reported: set[str] = set()

    def add_answer(self, answer: Answer) -> Answer:
        """Adds an answer and returns it."""
        self._answers.append(answer)
        return answer

    def runs(self, key: str) -> int:
        """Returns how often the services ran the calls with a key."""
        return self._runs_by_key()[key]

    def new_violations(self) -> list[str]:
        """Returns the violations that no earlier call has returned."""
        found = [v for v in self._violations() if v not in self._reported]
        self._reported.update(found)
        return found

    def _violations(self) -> list[str]:
        by_id = self._runs_by_id()
        found = [
            f"{key} ran more than once"
            for key, count in self._runs_by_key().items()
            if key and count > 1
        ]
        for answer in self._answers:
            runs = by_id[answer.request_id]
            if answer.verdict == NOT_RUN and runs:
                found.append(f"answered not-run but ran {runs} times: {answer}")
            if answer.is_complete and not runs:
                found.append(f"answered complete but never ran: {answer}")
            if not self._is_consistent(answer):
                found.append(f"body does not match the verdict: {answer}")
        return found

    def _is_consistent(self, answer: Answer) -> bool:
        """Whether the body is, byte for byte, what the verdict promises."""
        if not answer.status:
            return True
        if not answer.request_id or not answer.verdict:
            return False
        if not answer.is_complete:
            return not answer.body.rstrip().endswith(_DONE)
        if not answer.is_whole:
            return False
        if answer.key:
            document = orjson.loads(answer.body)
            return bool(
                document["idempotency_key"] == answer.key
                and document["request_id"] == answer.request_id
                and document["body"] == answer.sent
            )
        expected = expected_text(answer.sent, self._tokens)
        return _text(answer) == (answer.request_id, expected)

    def _runs_by_key(self) -> Counter[str]:
        return Counter(
            call.idempotency_key
            for service in self._services
            for call in service.control.calls
        )

    def _runs_by_id(self) -> Counter[str]:
        runs: Counter[str] = Counter()
        for engine in self._engines:
            runs.update(engine.control.ran)
        runs.update(
            call.request_id
            for service in self._services
            for call in service.control.calls
        )
        return runs


def _text(answer: Answer) -> tuple[str, str]:
    """Returns the request id and the text of an engine's answer."""
    if not answer.is_streamed:
        document = orjson.loads(answer.body)
        return document["id"], document["choices"][0]["message"]["content"]
    events = [
        line.removeprefix(b"data: ")
        for line in answer.body.split(b"\n")
        if line.startswith(b"data: ")
    ]
    if not events or events.pop() != _DONE.removeprefix(b"data: "):
        return "", "no end"
    documents = [orjson.loads(event) for event in events]
    parts = [
        choice["delta"].get("content", "")
        for document in documents
        for choice in document["choices"]
    ]
    ids = {document["id"] for document in documents}
    return ",".join(sorted(ids)), "".join(parts)
