"""Stores a holder's records of the keys of one slot compactly.

Nearly every key has one attempt, granted or refused, which is stored as one
integer. The few keys with more attempts have a tuple of such integers. Keys lie
in buckets by their time, so that eviction drops whole buckets and costs nothing
for the rest.
"""

import heapq
from collections.abc import Iterator

import attrs

from hollyknot_coordination.claims._keys import key_time_ms
from hollyknot_state import Attempt, ClaimOutcome, ClaimRecord, HeldAttempt

BUCKET_MS = 60_000
"""Range of key times in one bucket, in ms. Shorter buckets would need more
dicts, longer ones would keep keys longer than needed."""

_STATE_BITS = 3
_STATE_MASK = (1 << _STATE_BITS) - 1
_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
_OUTCOMES = (
    ClaimOutcome.UNKNOWN,
    ClaimOutcome.COMPLETE,
    ClaimOutcome.FAILED,
    ClaimOutcome.MAY_HAVE_RUN,
)
_UNKNOWN = 0
_REFUSED = len(_OUTCOMES)
_STATES = {outcome: state for state, outcome in enumerate(_OUTCOMES)}

_Entry = int | tuple[int, ...]


@attrs.define
class CoordinatorTable:
    """Assigns small numbers to the names of coordinators, for all slots.

    The table never shrinks. It holds one name for each process that ever
    claimed here, which is bounded by the replacements of hosts during the life
    of this process.
    """

    _numbers: dict[str, int] = attrs.Factory(dict)
    _names: list[str] = attrs.Factory(list)

    def number_of(self, coordinator: str) -> int:
        """Returns the number of a coordinator; assigns one to a new name."""
        found = self._numbers.get(coordinator)
        if found is None:
            found = len(self._names)
            self._numbers[coordinator] = found
            self._names.append(coordinator)
        return found

    def name_of(self, number: int) -> str:
        """Returns the name of the coordinator with a number."""
        return self._names[number]


@attrs.define
class SlotRecords:
    """The records of one slot.

    Attributes:
        coordinators: Numbers of the coordinators' names.
    """

    coordinators: CoordinatorTable
    _buckets: dict[int, dict[bytes, _Entry]] = attrs.Factory(dict)
    _bucket_heap: list[int] = attrs.Factory(list)

    def __len__(self) -> int:
        return sum(len(bucket) for bucket in self._buckets.values())

    def held(self, key: bytes) -> tuple[HeldAttempt, ...]:
        """Returns the attempts that a key may have been granted to."""
        return tuple(
            HeldAttempt(self._attempt(code), _OUTCOMES[code & _STATE_MASK])
            for code in self._codes(key)
            if code & _STATE_MASK != _REFUSED
        )

    def refuses(self, key: bytes, attempt: Attempt) -> bool:
        """Returns whether an attempt must never be granted."""
        codes = self._codes(key)
        if not codes:
            return False
        wanted = self._encode(attempt, _REFUSED)
        return any(
            code & _STATE_MASK == _REFUSED
            and code >= wanted
            and _coordinator(code) == _coordinator(wanted)
            for code in codes
        )

    def grant(
        self,
        key: bytes,
        attempt: Attempt,
        outcome: ClaimOutcome = ClaimOutcome.UNKNOWN,
    ) -> None:
        """Records that a key may have been granted to an attempt."""
        state = _STATES[outcome]
        wanted = self._encode(attempt, state)
        codes = self._codes(key)
        for code in codes:
            if _is_held(code) and _same_attempt(code, wanted):
                # UNKNOWN is the lowest state, so that a late or repeated
                # message doesn't erase how an attempt ended.
                kept = tuple(c for c in codes if c != code)
                self._put(key, (*kept, max(code, wanted)))
                return
        self._put(key, (*codes, wanted))

    def refuse(self, key: bytes, attempt: Attempt) -> None:
        """Refuses an attempt and all earlier ones of its coordinator for good.

        A coordinator has one attempt for a key at a time, so that its earlier
        ones have ended. With an entry per attempt, the records of a caller that
        retries for a day would grow with each retry.
        """
        if self.refuses(key, attempt):
            return
        wanted = self._encode(attempt, _REFUSED)
        kept = tuple(
            code
            for code in self._codes(key)
            if _is_held(code) or _coordinator(code) != _coordinator(wanted)
        )
        self._put(key, (*kept, wanted))

    def drop(self, key: bytes, attempt: Attempt) -> None:
        """Removes the grant of a key to exactly this attempt."""
        wanted = self._encode(attempt, _UNKNOWN)
        codes = self._codes(key)
        kept = tuple(
            code
            for code in codes
            if not (_is_held(code) and _same_attempt(code, wanted))
        )
        if kept != codes:
            self._put(key, kept)

    def merge(self, record: ClaimRecord) -> None:
        """Adds all that another holder knows of a key."""
        for one in record.held:
            self.grant(record.key, one.attempt, one.outcome)
        for attempt in record.refused:
            self.refuse(record.key, attempt)

    def evict(self, horizon_ms: int) -> int:
        """Drops the buckets all of whose keys are at or below the horizon.

        Args:
            horizon_ms: Key time in ms since 1970.

        Returns:
            The number of keys that were dropped.
        """
        dropped = 0
        while (
            self._bucket_heap
            and (self._bucket_heap[0] + 1) * BUCKET_MS <= horizon_ms
        ):
            bucket = heapq.heappop(self._bucket_heap)
            dropped += len(self._buckets.pop(bucket))
        return dropped

    def page(self, after: bytes, limit: int) -> tuple[ClaimRecord, ...]:
        """Returns up to `limit` records of keys above `after`, in order."""
        found: list[ClaimRecord] = []
        for key in self._keys_after(after):
            if len(found) >= limit:
                break
            found.append(self._record(key))
        return tuple(found)

    def _keys_after(self, after: bytes) -> Iterator[bytes]:
        first = key_time_ms(after) // BUCKET_MS if after else 0
        for bucket in sorted(b for b in self._buckets if b >= first):
            yield from sorted(k for k in self._buckets[bucket] if k > after)

    def _record(self, key: bytes) -> ClaimRecord:
        refused = tuple(
            self._attempt(code)
            for code in self._codes(key)
            if not _is_held(code)
        )
        return ClaimRecord(key, self.held(key), refused)

    def _codes(self, key: bytes) -> tuple[int, ...]:
        bucket = self._buckets.get(key_time_ms(key) // BUCKET_MS)
        entry = bucket.get(key, ()) if bucket else ()
        return (entry,) if isinstance(entry, int) else entry

    def _put(self, key: bytes, codes: tuple[int, ...]) -> None:
        time = key_time_ms(key) // BUCKET_MS
        bucket = self._buckets.get(time)
        if bucket is None:
            bucket = self._buckets[time] = {}
            heapq.heappush(self._bucket_heap, time)
        if codes:
            bucket[key] = codes[0] if len(codes) == 1 else codes
        else:
            bucket.pop(key, None)

    def _encode(self, attempt: Attempt, state: int) -> int:
        if attempt.number > _NUMBER_MASK:
            raise ValueError(
                f"attempt number {attempt.number} of {attempt.coordinator}"
                f" exceeds {_NUMBER_MASK}; restart that host to count from 1"
            )
        coordinator = self.coordinators.number_of(attempt.coordinator)
        code = coordinator << _NUMBER_BITS | attempt.number
        return code << _STATE_BITS | state

    def _attempt(self, code: int) -> Attempt:
        name = self.coordinators.name_of(_coordinator(code))
        return Attempt(name, code >> _STATE_BITS & _NUMBER_MASK)


def _coordinator(code: int) -> int:
    return code >> (_STATE_BITS + _NUMBER_BITS)


def _is_held(code: int) -> bool:
    return code & _STATE_MASK != _REFUSED


def _same_attempt(one: int, other: int) -> bool:
    return one >> _STATE_BITS == other >> _STATE_BITS
