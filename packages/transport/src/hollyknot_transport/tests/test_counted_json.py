"""Tests of the count of a document's values."""

import orjson
import pytest

from hollyknot_transport._counted_json import has_more_values

_LIMIT = 20
_PROSE = 'one, two: [three], {four}\\ "five", ' * 100


class TestHasMoreValues:
    """Many values are found, whatever the text between them."""

    @pytest.mark.parametrize(
        "document",
        [[[]] * 30, [{}] * 30, {str(n): n for n in range(30)}, [""] * 30],
    )
    def test_many_values_are_found(self, document: object) -> None:
        assert has_more_values(orjson.dumps(document), _LIMIT)

    @pytest.mark.parametrize("text", [_PROSE, "\\", '"', '\\"', ",\\" * 50])
    def test_text_is_not_counted(self, text: str) -> None:
        """Guards against the refusal of prompts with many commas."""
        data = orjson.dumps({"messages": [{"content": text}], "model": "m"})
        assert not has_more_values(data, _LIMIT)
        assert has_more_values(orjson.dumps([text] * 30), _LIMIT)
