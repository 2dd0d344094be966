"""Fixtures of the tests of claims."""

import pytest

from hollyknot_coordination.claims import _holder


@pytest.fixture(autouse=True)
def _one_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limits holders to slot 0: other slots only cost time."""
    monkeypatch.setattr(_holder, "SLOTS", 1)
