"""Parses OpenAI requests and builds their deterministic answers."""

import zlib
from typing import Any

import attrs
import orjson

_TOKEN_PLACEHOLDER = "@token@"


@attrs.frozen
class Prompt:
    """All that determines an answer, so that any engine can generate it.

    Attributes:
        request_id: Identifier from the caller, repeated as the answer's `id`.
        model: Name of the model, repeated in the answer.
        text: Roles and contents of all messages of the prompt.
        message: Content of the last message, echoed in the answer.
        length: Number of tokens of the complete answer.
        is_chat: Whether answers have the format of chat completions.
    """

    request_id: str
    model: str
    text: str
    message: str
    length: int
    is_chat: bool

    @classmethod
    def parse(
        cls, body: dict[str, Any], request_id: str, shortest: int, longest: int
    ) -> "Prompt":
        """Parses a request; the prompt's hash selects the answer's length."""
        messages = body.get("messages") or [
            {"role": "user", "content": body["prompt"]}
        ]
        text = "\n".join(f"{m['role']}:{m['content']}" for m in messages)
        spread = longest - shortest + 1
        length = shortest + zlib.crc32(text.encode()) % spread
        return cls(
            request_id=request_id,
            model=str(body.get("model", "")),
            text=text,
            message=str(messages[-1]["content"]),
            length=max(min(length, int(body.get("max_tokens") or length)), 1),
            is_chat="messages" in body,
        )

    def token(self, index: int) -> bytes:
        """Returns the text of one token, escaped as inside a JSON string."""
        if index:
            return b" t%d" % index
        return orjson.dumps(f"echo:{self.message}")[1:-1]

    def usage(self, cached_bytes: int) -> dict[str, Any]:
        """Returns the `usage` of an answer, counting four bytes as a token."""
        tokens = len(self.text) // 4
        return {
            "prompt_tokens": tokens,
            "completion_tokens": self.length,
            "total_tokens": tokens + self.length,
            "prompt_tokens_details": {"cached_tokens": cached_bytes // 4},
        }

    def token_frame(self) -> tuple[bytes, bytes]:
        """Returns the bytes before and after the token in a stream's event."""
        event = self._event([self._delta(_TOKEN_PLACEHOLDER, None)])
        head, _, tail = event.rpartition(_TOKEN_PLACEHOLDER.encode())
        return head, tail

    def stream_end(self, cached_bytes: int) -> bytes:
        """Returns the last events of a complete stream."""
        last = self._event([self._delta("", "stop")])
        usage = self._event([], usage=self.usage(cached_bytes))
        return last + usage + b"data: [DONE]\n\n"

    def complete_answer(self, cached_bytes: int) -> dict[str, Any]:
        """Returns the complete answer to a request without streaming."""
        answer = expected_text(self.message, self.length)
        message = {"role": "assistant", "content": answer}
        content = {"message": message} if self.is_chat else {"text": answer}
        return {
            "id": self.request_id,
            "object": "chat.completion" if self.is_chat else "text_completion",
            "model": self.model,
            "choices": [{"index": 0, **content, "finish_reason": "stop"}],
            "usage": self.usage(cached_bytes),
        }

    def _event(self, choices: list[Any], **more: Any) -> bytes:
        chunk = "chat.completion.chunk" if self.is_chat else "text_completion"
        head = {"id": self.request_id, "object": chunk, "model": self.model}
        event = {**head, "choices": choices, **more}
        return b"data: " + orjson.dumps(event) + b"\n\n"

    def _delta(self, token: str, finish: str | None) -> dict[str, Any]:
        delta = {"delta": {"content": token}}
        content = delta if self.is_chat else {"text": token}
        return {"index": 0, **content, "finish_reason": finish}


def expected_text(message: str, length: int) -> str:
    """Returns the text of the answer to a message, with `length` tokens."""
    return f"echo:{message}" + "".join(f" t{i}" for i in range(1, length))
