"""Tests who keeps the bytes of a full budget."""

import attrs

from hollyknot_coordination.holding import (
    SMALL_BYTES,
    ByteBudget,
    Holder,
    default_capacity_bytes,
)

CAPACITY = 30 * SMALL_BYTES
LARGE = 10 * SMALL_BYTES


@attrs.define
class _Budget:
    """A budget whose holders have names."""

    budget: ByteBudget = attrs.Factory(lambda: ByteBudget(CAPACITY))
    holders: dict[str, Holder] = attrs.Factory(dict)
    gave_way: list[str] = attrs.Factory(list)

    def hold(self, name: str, size: int, now_s: float = 0.0) -> bool:
        holder = self.holders.setdefault(
            name, Holder(lambda: self.gave_way.append(name))
        )
        return self.budget.hold(holder, size, now_s)


class TestByteBudget:
    """The sum is bounded, and small fresh requests come first."""

    def test_the_slowest_and_largest_gives_way(self) -> None:
        held = _Budget()
        assert held.hold("short", LARGE, 5.0)
        assert held.hold("long", LARGE, 1.0)
        assert held.hold("new", LARGE, 6.0)
        assert held.gave_way == ["long"]
        assert held.budget.held_bytes == 2 * LARGE

    def test_small_requests_are_read_beside_large_whole_ones(self) -> None:
        held = _Budget()
        for name in ("one", "two"):
            assert held.hold(name, LARGE)
            held.budget.finish(held.holders[name])
        assert not held.hold("large", LARGE, 9.0)
        assert held.hold("small", SMALL_BYTES, 9.0)
        assert not held.gave_way

    def test_none_gives_way_to_one_that_has_spent_more(self) -> None:
        held = _Budget()
        assert held.hold("greedy", LARGE, 0.0)
        assert held.hold("other", LARGE, 8.0)
        assert not held.hold("greedy", 2 * LARGE, 9.0)
        assert not held.gave_way
        assert held.budget.held_bytes == LARGE

    def test_many_small_ones_are_bounded_too(self) -> None:
        held = _Budget()
        for number in range(100):
            held.hold(str(number), SMALL_BYTES, float(number))
        assert held.budget.held_bytes <= CAPACITY
        assert held.gave_way == [str(number) for number in range(70)]

    def test_a_single_request_is_held_whatever_its_size(self) -> None:
        held = _Budget()
        assert held.hold("small", SMALL_BYTES)
        assert held.hold("huge", 2 * CAPACITY, 1.0)
        assert held.hold("small too", SMALL_BYTES, 1.0)
        assert not held.hold("large", LARGE, 1.0)

    def test_what_is_released_is_free(self) -> None:
        held = _Budget()
        assert held.hold("one", 2 * LARGE)
        held.budget.finish(held.holders["one"])
        assert held.hold("one", 0, 1.0)
        assert held.hold("two", 2 * LARGE, 1.0)
        assert not held.gave_way

    def test_capacity_follows_the_memory(self) -> None:
        assert default_capacity_bytes(300 * 10**6) // 10**6 == 99
        assert default_capacity_bytes(0) == 8 * 2**20
