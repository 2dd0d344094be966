"""Tests of the normalisation of paths."""

import urllib.parse

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyknot_state import PathFault, normalise_path


class TestNormalisePath:
    """Paths are normalised; ambiguous ones are refused."""

    @pytest.mark.parametrize(
        ("path", "normal"),
        [
            ("/", "/"),
            ("/orders/", "/orders/"),
            ("/%6frders%2d1", "/orders-1"),
            ("/a%c3%a9", "/a%C3%A9"),
            ("/a%20b;x=1", "/a%20b;x=1"),
            ("", PathFault.CHARACTERS),
            ("orders", PathFault.CHARACTERS),
            ("/a b", PathFault.CHARACTERS),
            ("/a\n", PathFault.CHARACTERS),
            ("/a?b", PathFault.CHARACTERS),
            ("/a\\b", PathFault.CHARACTERS),
            ("/%zz", PathFault.CHARACTERS),
            ("/a%2Fb", PathFault.ENCODED_SLASH),
            ("/a%5cb", PathFault.ENCODED_SLASH),
            ("//a", PathFault.SEGMENTS),
            ("/a//b", PathFault.SEGMENTS),
            ("/a//", PathFault.SEGMENTS),
            ("/a/../b", PathFault.SEGMENTS),
            ("/%2e%2E/b", PathFault.SEGMENTS),
            ("/a/.", PathFault.SEGMENTS),
        ],
    )
    def test_path_is_normalised_or_refused(
        self, path: str, normal: str | PathFault
    ) -> None:
        assert normalise_path(path) == normal

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.text(st.sampled_from("/.%2eEfF5cCaA~-;"), max_size=12))
    def test_says_what_services_read(self, rest: str) -> None:
        normal = normalise_path("/" + rest)
        if isinstance(normal, PathFault):
            return
        assert normalise_path(normal) == normal
        decoded = urllib.parse.unquote_to_bytes("/" + rest)
        assert urllib.parse.unquote_to_bytes(normal) == decoded
        assert decoded.count(b"/") == normal.count("/")
