"""Items that each server process may hold, as far as the coordinator can prove.

An item is the unit that moves between servers: a slice, given by its index, or a key
that is placed individually, given by :func:`key_item` of its hash.
"""

from __future__ import annotations

__all__ = ["Holdings", "is_key_item", "item_hash", "key_item"]

from collections.abc import Iterable

from .grants import Grant, GrantAnswer, TermTracker, holdings_digest
from .hashing import slice_of

# Earlier processes are remembered so that a late answer of one of them is not
# mistaken for a restart.
MAX_RETIRED_PROCESSES = 1024


def key_item(hash_value: int) -> int:
    """Return the item of a key that is placed individually.

    It is negative, so it differs from every slice index.
    """
    return -1 - hash_value


def is_key_item(item: int) -> bool:
    """Whether an item is a key rather than a slice."""
    return item < 0


def item_hash(item: int) -> int:
    """Return the key hash of a key item."""
    return -1 - item


class _ServerProcess:
    """One process of a server, what it may hold and what it was last sent."""

    def __init__(self, server: str, incarnation: str) -> None:
        self.server = server
        self.incarnation = incarnation
        self.may_hold: set[int] = set()
        self.sent_items: frozenset[int] | None = None
        self.acknowledged = False
        self.first_sequence = 0
        self.last_sequence = 0
        self.digest = ""

    def clear_sent_items(self) -> None:
        self.sent_items = None
        self.acknowledged = False


class Holdings:
    """Tracks what the servers of one service may hold, and creates their grants.

    An item counts as held by a process from the creation of a grant that contains
    it until the process acknowledges a grant without it or all of its terms have
    provably ended.

    :param service: service of the grants.
    :param slice_count: number of slices in the service's hash space.
    """

    def __init__(self, service: str, slice_count: int) -> None:
        self.terms = TermTracker()
        self._service = service
        self._slice_count = slice_count
        self._epoch = 0
        self._sequence = 0
        self._current: dict[str, _ServerProcess] = {}
        self._retired: dict[tuple[str, str], _ServerProcess] = {}
        self._tracked_keys: set[int] = set()

    def begin_epoch(self, epoch: int) -> None:
        """Start a new epoch, in which every server is sent all of its items again."""
        self._epoch = epoch
        self._sequence = 0
        for process in self._current.values():
            process.clear_sent_items()

    def inquiry(self, server: str) -> Grant:
        """Return a grant that asks a server what it holds."""
        return self._make_grant(self.terms.incarnation(server), 0, 0, None, {})

    def handle_answer(self, server: str, answer: GrantAnswer, now: float) -> bool:
        """Process an answer; return whether the server's current process sent it."""
        if (server, answer.incarnation) in self._retired:
            return False
        process = self._current.get(server)
        if process is None or process.incarnation != answer.incarnation:
            process = self._replace_process(server, answer.incarnation)
        self.terms.record_stamp(server, answer.incarnation, answer.stamp_ms, now)
        same_epoch = answer.held_epoch == self._epoch
        if (
            same_epoch
            and process.sent_items is not None
            and answer.digest == process.digest
        ):
            if process.first_sequence <= answer.held_sequence <= process.last_sequence:
                process.acknowledged = True
                process.may_hold = set(process.sent_items)
        return True

    def record_inherited(self, server: str, answer: GrantAnswer, now: float) -> None:
        """Record what a server may still serve under a predecessor's grant."""
        if not answer.term_left_ms or answer.held is None:
            return
        process = self._current[server]
        process.may_hold |= set(answer.held)
        for hash_value in answer.held_hot_keys:
            self.track_key(hash_value)
        for hash_value in self._tracked_keys:
            in_slice = slice_of(hash_value, self._slice_count) in answer.held
            if answer.held_hot_keys.get(hash_value, in_slice):
                process.may_hold.add(key_item(hash_value))
            else:
                process.may_hold.discard(key_item(hash_value))
        self.terms.record_inherited(
            server, answer.incarnation, answer.term_left_ms, now
        )

    def track_key(self, hash_value: int) -> None:
        """Make a key an item of its own, held by every process that holds its slice."""
        if hash_value in self._tracked_keys:
            return
        self._tracked_keys.add(hash_value)
        slice_index = slice_of(hash_value, self._slice_count)
        for process in (*self._current.values(), *self._retired.values()):
            if slice_index in process.may_hold:
                process.may_hold.add(key_item(hash_value))
            if process.sent_items is not None and slice_index in process.sent_items:
                process.sent_items |= {key_item(hash_value)}

    @property
    def tracked_keys(self) -> frozenset[int]:
        """Hashes of the keys that are items of their own."""
        return frozenset(self._tracked_keys)

    def untrack_merged_keys(self, hot_keys: Iterable[int]) -> None:
        """Merge keys back into their slice where the same processes hold both.

        A process whose last grant is not acknowledged yet delays the merge.

        :param hot_keys: hashes of the keys that stay items of their own.
        """
        for hash_value in self._tracked_keys - set(hot_keys):
            item, slice_index = (
                key_item(hash_value),
                slice_of(hash_value, self._slice_count),
            )
            processes = (*self._current.values(), *self._retired.values())
            can_merge = all(
                (item in process.may_hold) == (slice_index in process.may_hold)
                and (process.sent_items is None or process.acknowledged)
                for process in processes
            )
            if not can_merge:
                continue
            self._tracked_keys.discard(hash_value)
            for process in processes:
                process.may_hold.discard(item)
                if process.sent_items is not None:
                    process.sent_items -= {item}

    def expire(self, now: float) -> bool:
        """Clear the items of processes whose terms have provably ended.

        :return: whether anything was cleared.
        """
        cleared = False
        for process in self._current.values():
            lapsed = self.terms.has_incarnation_lapsed(
                process.server, process.incarnation, now
            )
            if lapsed and (process.may_hold or process.sent_items is not None):
                process.may_hold = set()
                process.clear_sent_items()
                cleared = True
        for key in list(self._retired):
            if self.terms.has_incarnation_lapsed(*key, now):
                cleared = cleared or bool(self._retired[key].may_hold)
                self._retired[key].may_hold = set()
                self.terms.forget_incarnation(*key)
        return cleared

    def may_hold(self, server: str) -> set[int]:
        """Return the items that a server's current process may hold."""
        process = self._current.get(server)
        return set() if process is None else process.may_hold

    def held_elsewhere(self, server: str) -> set[int]:
        """Return the items that any process but the server's current one may hold."""
        held: set[int] = set()
        for process in (*self._current.values(), *self._retired.values()):
            if process is not self._current.get(server):
                held |= process.may_hold
        return held

    def acknowledged(self, server: str) -> frozenset[int]:
        """Return the items of a server's last grant once it is acknowledged."""
        process = self._current.get(server)
        if process is None or process.sent_items is None or not process.acknowledged:
            return frozenset()
        return process.sent_items

    def differs_from_last_grant(self, server: str, items: frozenset[int]) -> bool:
        """Whether these items differ from those of the last grant."""
        process = self._current.get(server)
        return process is not None and process.sent_items != items

    def grant(
        self, server: str, items: frozenset[int], authority_end: float
    ) -> Grant | None:
        """Return a grant of exactly these items, or ``None`` before any stamp.

        The caller must ensure that no other process may hold them.
        """
        process = self._current.get(server)
        if process is None:
            return None
        stamp_ms, term_ms = self.terms.next_term(server, authority_end)
        self.terms.record_grant(server, term_ms)
        if process.sent_items == items and process.acknowledged:
            # With a term of 0 this is an inquiry, whose answer brings a new stamp.
            return self._make_grant(process.incarnation, stamp_ms, term_ms, None, {})
        hot_keys = self._hot_keys_of(items)
        slices = tuple(sorted(item for item in items if not is_key_item(item)))
        digest = holdings_digest(slices, hot_keys)
        if process.sent_items != items or process.digest != digest:
            process.sent_items = items
            process.acknowledged = False
            process.first_sequence = self._sequence + 1
            process.digest = digest
        process.may_hold |= items
        grant = self._make_grant(
            process.incarnation, stamp_ms, term_ms, slices, hot_keys
        )
        process.last_sequence = grant.sequence
        return grant

    def _make_grant(
        self,
        incarnation: str,
        stamp_ms: int,
        term_ms: int,
        slices: tuple[int, ...] | None,
        hot_keys: dict[int, bool],
    ) -> Grant:
        self._sequence += 1
        return Grant(
            service=self._service,
            epoch=self._epoch,
            sequence=self._sequence,
            incarnation=incarnation,
            echoed_stamp_ms=stamp_ms,
            term_ms=term_ms,
            slices=slices,
            hot_keys=hot_keys,
            slice_count=self._slice_count,
        )

    def _hot_keys_of(self, items: frozenset[int]) -> dict[int, bool]:
        hot_keys = {}
        for hash_value in self._tracked_keys:
            owned = key_item(hash_value) in items
            if owned or slice_of(hash_value, self._slice_count) in items:
                hot_keys[hash_value] = owned
        return hot_keys

    def _replace_process(self, server: str, incarnation: str) -> _ServerProcess:
        old = self._current.get(server)
        if old is not None:
            self._retired[server, old.incarnation] = old
        while len(self._retired) > MAX_RETIRED_PROCESSES:
            oldest = next(iter(self._retired))
            if self._retired[oldest].may_hold:
                break
            del self._retired[oldest]
        process = self._current[server] = _ServerProcess(server, incarnation)
        return process
