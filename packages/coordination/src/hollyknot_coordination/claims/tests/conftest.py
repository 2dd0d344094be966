"""Settings of all tests of claims."""

import pytest

from hollyknot_coordination.claims import _holder


@pytest.fixture(autouse=True)
def _one_slot(monkeypatch: pytest.MonkeyPatch) -> None:
    """Holders look after slot 0 alone; the others only take time."""
    monkeypatch.setattr(_holder, "SLOTS", 1)
