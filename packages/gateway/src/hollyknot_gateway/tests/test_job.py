"""Tests by which identity hosts know a request that is sent again."""

from hollyknot_gateway._caller_request import CallerRequest
from hollyknot_gateway._job import identify
from hollyknot_state.routes import CallTraits, Service

SERVICE = Service("engines")


def _fingerprint(key: str, target: str = "/a", body: bytes = b"q") -> int:
    request = CallerRequest("POST", target, (), {}, body, True, 0.0)
    return identify(request, CallTraits(key=key), SERVICE).fingerprint


class TestIdentify:
    """What is asked makes a request, not who asks it."""

    def test_a_request_is_the_same_with_any_key(self) -> None:
        """Guards against one crashing request that counts once a customer."""
        assert _fingerprint("one") == _fingerprint("two")

    def test_other_targets_and_bodies_are_other_requests(self) -> None:
        found = {
            _fingerprint("one"),
            _fingerprint("one", target="/b"),
            _fingerprint("one", body=b"r"),
        }
        assert len(found) == 3
