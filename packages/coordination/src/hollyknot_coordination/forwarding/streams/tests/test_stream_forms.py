"""Tests that hosts learn which streams have numbered events."""

from hollyknot_coordination.forwarding import StreamForms

STREAMS = 100


class TestStreamForms:
    """What is expected of the next stream."""

    def test_a_service_may_stop_numbering(self) -> None:
        """Guards against a service that is refused for good."""
        forms = StreamForms()
        for _ in range(STREAMS):
            forms.note("s", "v1", is_numbered=True)
        assert forms.are_numbered("s", "v1")
        assert not forms.are_numbered("s", "v2")
        refused = 0
        while forms.are_numbered("s", "v1"):
            forms.note("s", "v1", is_numbered=False)
            refused += 1
        assert 1 < refused <= STREAMS / 2

    def test_a_service_may_have_streams_of_both_kinds(self) -> None:
        """Guards against sound streams without ids that are refused."""
        forms = StreamForms()
        for number in range(STREAMS):
            forms.note("s", "v1", is_numbered=bool(number % 2))
        assert not forms.are_numbered("s", "v1")
