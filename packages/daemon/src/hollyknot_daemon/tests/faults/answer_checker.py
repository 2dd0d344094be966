"""Every answer that callers got, held against what the upstreams ran."""

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
    """What one send of a request got.

    Attributes:
        host: Where it was sent.
        sent: The text or the body that was sent, to be found in the answer.
        key: The idempotency key, if it had one.
        is_streamed: Whether events were asked for.
        status: The HTTP status; 0 if the connection was lost before it.
        verdict: The verdict that the caller was told; empty if none.
        reason: Of a refusal.
        request_id: As told; empty if the connection was lost before.
        retry_after: Seconds, empty if not told.
        body: What was read of the body.
        is_whole: Whether the body's end was read.
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
        """Whether the caller was told that it has its whole answer."""
        return self.verdict == COMPLETE


class AnswerChecker:
    """Answers so far; what they promise must hold for ever."""

    def __init__(
        self,
        engines: Iterable[Standin[EngineControl]],
        services: Iterable[Standin[ServiceControl]],
        tokens: int,
    ) -> None:
        """Starts empty.

        Args:
            engines: All that may have run a request.
            services: Likewise.
            tokens: The length of each engine's answer.
        """
        self._engines = list(engines)
        self._services = list(services)
        self._tokens = tokens
        self._answers: list[Answer] = []
        self._reported: set[str] = set()

    def add_answer(self, answer: Answer) -> Answer:
        """Adds an answer."""
        self._answers.append(answer)
        return answer

    def runs(self, key: str) -> int:
        """Returns how often the services ran the calls with a key."""
        return self._runs_by_key()[key]

    def new_violations(self) -> list[str]:
        """Returns promises so far that are broken and weren't told yet."""
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
                found.append(f"told not run, ran {runs} times: {answer}")
            if answer.is_complete and not runs:
                found.append(f"told complete, never ran: {answer}")
            if not self._is_consistent(answer):
                found.append(f"not its own whole answer: {answer}")
        return found

    def _is_consistent(self, answer: Answer) -> bool:
        """Whether the body is what the verdict says, to the last byte."""
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
    """Returns the id and the text of an engine's answer."""
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
