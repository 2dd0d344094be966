"""Tests of which upstream keeps the copy of a run."""

import random

import attrs
from hypothesis import given
from hypothesis import strategies as st

from hollyknot_coordination.forwarding.streams import (
    copy_holder,
    has_secret_name,
    possible_holders,
    run_key,
)
from hollyknot_state import Address
from hollyknot_state.routes import CallTraits, PromptPart, UpstreamEntry

ENTRIES = [
    UpstreamEntry(
        f"u{number}",
        "s",
        Address("10.0.0.1", number + 1),
        "d",
        8,
        version=f"v{number % 2}",
    )
    for number in range(10)
]


class TestRunCopies:
    """All hosts choose the same upstream, of the version of the run."""

    @given(st.integers(0, 2**64 - 1), st.sampled_from(ENTRIES))
    def test_the_copy_is_asked_for_where_it_was_sent(
        self, key: int, at: UpstreamEntry
    ) -> None:
        """Guards against copies that no take-up finds."""
        holder = copy_holder(key, at, ENTRIES)
        assert holder is not None
        assert holder.version == at.version
        left = [entry for entry in ENTRIES if entry != at]
        asked = possible_holders(key, left, random.Random(key))
        assert holder in asked[:2]
        asked = possible_holders(key, ENTRIES, random.Random(key))
        assert holder in asked

    def test_no_other_version_keeps_a_copy(self) -> None:
        """Guards against copies that prove the wrong version."""
        alone = attrs.evolve(ENTRIES[0], version="v9")
        assert copy_holder(1, alone, ENTRIES) is None

    def test_the_key_differs_by_customer_attempt_and_prompt(self) -> None:
        call = CallTraits(prompt=(PromptPart("aa", 1),))
        other = CallTraits(prompt=(PromptPart("ab", 1),))
        keys = {
            run_key("one", "a", call),
            run_key("two", "a", call),
            run_key("one", "b", call),
            run_key("one", "a", other),
            run_key("one", "a", CallTraits()),
        }
        assert len(keys) == 5

    def test_short_and_odd_names_can_be_guessed_or_break_headers(self) -> None:
        """Guards against runs that anybody can name."""
        assert has_secret_name("9c41d07be2a35f68")
        for name in ("", "7", "a" * 15, "a" * 129, "a" * 15 + "/", "é" * 16):
            assert not has_secret_name(name)
