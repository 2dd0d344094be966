"""Tests of the addresses that are kept of delisted hosts."""

from hollyknot_daemon import _delisted
from hollyknot_daemon._delisted import Delisted
from hollyknot_state import HostListEntry, Role


def _hosts(*names: str) -> dict[str, HostListEntry]:
    return {
        n: HostListEntry(n, Role.HOST, "hall-a", "127.0.0.1", 1) for n in names
    }


class TestDelisted:
    """Hosts are found while they are delisted; the oldest is evicted first."""

    def test_finds_only_delisted_hosts(self) -> None:
        delisted = Delisted()
        delisted.note(_hosts("a", "b"))
        assert delisted.find("b") is None
        delisted.note(_hosts("a"))
        assert delisted.find("b") == _hosts("b")["b"]
        delisted.note(_hosts("a", "b"))
        assert delisted.find("b") is None

    def test_oldest_entry_is_evicted(self) -> None:
        delisted = Delisted()
        names = [f"h{n}" for n in range(_delisted.MAX_ENTRIES + 2)]
        delisted.note(_hosts(*names))
        delisted.note(_hosts(names[0]))
        assert delisted.find(names[1]) is None
        assert delisted.find(names[-1]) is not None
