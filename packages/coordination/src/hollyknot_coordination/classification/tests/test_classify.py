"""Tests of authentication, classification and `explain`."""

import hashlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hollyknot_coordination.classification import (
    Absent,
    Classification,
    ClassReason,
    ModelCall,
    NatureReason,
    ServiceCall,
    authenticate,
    classify,
    explain,
    index_keys,
)
from hollyknot_state import (
    CallPattern,
    ClassDeclaration,
    CustomerDeclaration,
    Declarations,
    ModelDeclaration,
    Nature,
    Outcome,
    Reason,
    ServiceDeclaration,
    Target,
    Verdict,
)

_TARGET = Target(first_token_ms=800)
_DECLARED = Declarations(
    version=1,
    classes={
        "counter": ClassDeclaration(1, _TARGET),
        "night": ClassDeclaration(3, Target(whole_answer_ms=60_000)),
        "other": ClassDeclaration(2, _TARGET),
    },
    customers={
        "desk": CustomerDeclaration(
            hashlib.sha256(b"key").hexdigest(), ("counter", "night"), "night"
        ),
        "stale": CustomerDeclaration("0" * 64, ("gone",), "gone"),
    },
    models={"drafts": ModelDeclaration()},
    services={
        "permits": ServiceDeclaration(
            non_idempotent=(
                CallPattern("PUT", "/orders*"),
                CallPattern("GET", "/next"),
                CallPattern("POST", "/search/run"),
            ),
            idempotent=(CallPattern("POST", "/search*"),),
            remember_s=600,
        )
    },
)
_DECLARED_NON_IDEMPOTENT = NatureReason.DECLARED_NON_IDEMPOTENT


def _call(method: str, path: str) -> Classification | Verdict:
    call = ServiceCall("permits", method, path)
    return classify(_DECLARED, "desk", Absent.CLASS, call)


class TestClass:
    """Tests of the class of a request and of refusals."""

    def test_named_class_and_default_class(self) -> None:
        named = classify(_DECLARED, "desk", "counter", ModelCall("drafts"))
        default = classify(_DECLARED, "desk", Absent.CLASS, ModelCall("drafts"))
        assert isinstance(named, Classification)
        assert isinstance(default, Classification)
        assert (named.tier, named.target) == (1, _TARGET)
        assert named.class_reason is ClassReason.NAMED
        assert (default.request_class, default.tier) == ("night", 3)
        assert default.class_reason is ClassReason.DEFAULT
        assert default.nature is Nature.IDEMPOTENT
        assert not default.needs_idempotency_key

    @pytest.mark.parametrize(
        ("customer", "name", "call", "reason"),
        [
            ("nobody", "counter", ModelCall("drafts"), Reason.BAD_KEY),
            ("desk", "other", ModelCall("drafts"), Reason.UNKNOWN_CLASS),
            ("desk", "", ModelCall("drafts"), Reason.UNKNOWN_CLASS),
            ("stale", Absent.CLASS, ModelCall("drafts"), Reason.UNKNOWN_CLASS),
            ("desk", "counter", ModelCall("permits"), Reason.UNKNOWN_MODEL),
            (
                "desk",
                "counter",
                ServiceCall("drafts", "GET", "/"),
                Reason.UNKNOWN_SERVICE,
            ),
            (
                "desk",
                "counter",
                ServiceCall("permits", "GET", "/a/../b"),
                Reason.BAD_REQUEST,
            ),
        ],
    )
    def test_refusals_are_proved_not_run(
        self,
        customer: str,
        name: str | Absent,
        call: ModelCall | ServiceCall,
        reason: Reason,
    ) -> None:
        verdict = classify(_DECLARED, customer, name, call)
        assert isinstance(verdict, Verdict)
        assert verdict.outcome is Outcome.NOT_RUN
        assert verdict.reason is reason
        assert verdict.detail


class TestNature:
    """Tests which calls to a service may run twice."""

    @pytest.mark.parametrize(
        ("method", "path", "reason", "pattern"),
        [
            ("GET", "/a", NatureReason.METHOD, ""),
            ("DELETE", "/a", NatureReason.METHOD, ""),
            ("PUT", "/a", NatureReason.METHOD, ""),
            (
                "POST",
                "/search/x",
                NatureReason.DECLARED_IDEMPOTENT,
                "POST /search*",
            ),
        ],
    )
    def test_idempotent(
        self, method: str, path: str, reason: NatureReason, pattern: str
    ) -> None:
        found = _call(method, path)
        assert isinstance(found, Classification)
        assert found.nature is Nature.IDEMPOTENT
        assert (found.nature_reason, found.pattern) == (reason, pattern)
        assert found.remember_s == 0

    @pytest.mark.parametrize(
        ("method", "path", "reason", "pattern"),
        [
            ("POST", "/a", NatureReason.METHOD, ""),
            ("PATCH", "/a", NatureReason.METHOD, ""),
            ("put", "/a", NatureReason.METHOD, ""),
            ("MERGE", "/a", NatureReason.METHOD, ""),
            ("PUT", "/orders/7", _DECLARED_NON_IDEMPOTENT, "PUT /orders*"),
            (
                "POST",
                "/search/run",
                _DECLARED_NON_IDEMPOTENT,
                "POST /search/run",
            ),
            ("GET", "/next", _DECLARED_NON_IDEMPOTENT, "GET /next"),
        ],
    )
    def test_non_idempotent(
        self, method: str, path: str, reason: NatureReason, pattern: str
    ) -> None:
        found = _call(method, path)
        assert isinstance(found, Classification)
        assert found.needs_idempotency_key
        assert (found.nature_reason, found.pattern) == (reason, pattern)
        assert found.remember_s == 600

    def test_encoded_path_matches_its_pattern(self) -> None:
        """A declared non-idempotent call must not run twice by its spelling.

        If patterns were matched against the path as received,
        `PUT /%6frders/7` would miss `/orders*` and count as idempotent. It
        would be retried, and the service, which decodes the path, would run
        both tries.
        """
        found = _call("PUT", "/%6frders/7")
        assert isinstance(found, Classification)
        assert found.nature is Nature.NON_IDEMPOTENT

    def test_pattern_for_get_covers_head(self) -> None:
        """A non-idempotent GET must not run twice if it is called by HEAD.

        A service may answer HEAD with its code for GET. If patterns for GET
        didn't cover HEAD, the call would count as idempotent and be retried.
        """
        found = _call("HEAD", "/next")
        assert isinstance(found, Classification)
        assert found.nature is Nature.NON_IDEMPOTENT

    @settings(derandomize=True, deadline=None, database=None)
    @given(method=st.text(max_size=8), path=st.text(max_size=20))
    def test_anything_is_classified_or_refused(
        self, method: str, path: str
    ) -> None:
        assert isinstance(_call(method, path), Classification | Verdict)


class TestAuthenticate:
    """Tests which customer a bearer key belongs to."""

    @pytest.mark.parametrize("header", ["Bearer key", "bearer  key "])
    def test_known_key_finds_its_customer(self, header: str) -> None:
        owners = index_keys(_DECLARED.customers)
        assert authenticate(owners, header) == "desk"

    @pytest.mark.parametrize(
        "header", ["", "Bearer", "Bearer ", "Basic key", "key", "Bearer \udcff"]
    )
    def test_other_authorization_is_refused(self, header: str) -> None:
        verdict = authenticate(index_keys(_DECLARED.customers), header)
        assert isinstance(verdict, Verdict)
        assert verdict.reason is Reason.BAD_KEY
        assert verdict.is_proved_not_run


class TestExplain:
    """Tests the prediction of how a request is served."""

    @pytest.mark.parametrize(
        ("method", "is_retried_if_lost"), [("GET", True), ("POST", False)]
    )
    def test_retries_follow_the_nature(
        self, method: str, is_retried_if_lost: bool
    ) -> None:
        call = ServiceCall("permits", method, "/a")
        found = explain(_DECLARED, "desk", Absent.CLASS, call)
        assert found.is_retried_if_not_run
        assert found.is_retried_if_lost is is_retried_if_lost

    def test_every_reason_is_listed(self) -> None:
        call = ServiceCall("permits", "POST", "/a")
        found = explain(_DECLARED, "desk", Absent.CLASS, call)
        reasons = {refusal.reason for refusal in found.refusals}
        by_classification = {
            Reason.BAD_KEY,
            Reason.UNKNOWN_CLASS,
            Reason.UNKNOWN_MODEL,
            Reason.UNKNOWN_SERVICE,
        }
        unanswered = {Reason.NONE, Reason.CALLER_GONE}
        assert reasons == set(Reason) - by_classification - unanswered
