"""What each server process may hold, as the coordinator can prove it.

An item is what moves between servers: a slice, as its index, or a key that is
placed alone, as :func:`key_item` of its hash.
"""

from __future__ import annotations

__all__ = ["Holdings", "is_key_item", "item_hash", "key_item"]

from collections.abc import Iterable

from .grants import Grant, GrantAnswer, TermTracker, holdings_digest
from .hashing import slice_of

# Remembered so that their late answers are not mistaken for a restart.
MAX_RETIRED = 1024


def key_item(hash_value: int) -> int:
    """Return the item of a key that is placed alone."""
    return -1 - hash_value


def is_key_item(item: int) -> bool:
    """Whether an item is a key, not a slice."""
    return item < 0


def item_hash(item: int) -> int:
    """Return the key hash of a key item."""
    return -1 - item


class _Process:
    """One process of a server."""

    def __init__(self, server: str, incarnation: str) -> None:
        self.server = server
        self.incarnation = incarnation
        self.may_hold: set[int] = set()
        self.sent: frozenset[int] | None = None
        self.acknowledged = False
        self.first_sequence = 0
        self.last_sequence = 0
        self.digest = ""

    def forget_sent(self) -> None:
        self.sent = None
        self.acknowledged = False


class Holdings:
    """Tracks what the servers of one service may hold, and makes their grants.

    An item counts as held by a process from the moment a grant with it is made
    until the process acknowledges a grant without it, or its term has provably
    ended.

    :param service: service of the grants.
    :param slice_count: slices of its hash space.
    """

    def __init__(self, service: str, slice_count: int) -> None:
        self.terms = TermTracker()
        self._service = service
        self._slice_count = slice_count
        self._epoch = 0
        self._sequence = 0
        self._current: dict[str, _Process] = {}
        self._retired: dict[tuple[str, str], _Process] = {}
        self._tracked: set[int] = set()

    def begin_epoch(self, epoch: int) -> None:
        """Start a new epoch; all slices are sent again in full."""
        self._epoch = epoch
        self._sequence = 0
        for process in self._current.values():
            process.forget_sent()

    def inquiry(self, server: str) -> Grant:
        """Return a grant that asks a server what it holds."""
        return self._make(self.terms.incarnation(server), 0, 0, None, {})

    def handle_answer(self, server: str, answer: GrantAnswer, now: float) -> bool:
        """Take an answer; return whether it is of the server's current process."""
        if (server, answer.incarnation) in self._retired:
            return False
        process = self._current.get(server)
        if process is None or process.incarnation != answer.incarnation:
            process = self._replace(server, answer.incarnation)
        self.terms.record_stamp(server, answer.incarnation, answer.stamp_ms, now)
        known = answer.held_epoch == self._epoch
        if known and process.sent is not None and answer.digest == process.digest:
            if process.first_sequence <= answer.held_sequence <= process.last_sequence:
                process.acknowledged = True
                process.may_hold = set(process.sent)
        return True

    def record_inherited(self, server: str, answer: GrantAnswer, now: float) -> None:
        """Note what a server still serves under a predecessor's grant."""
        if not answer.term_left_ms or answer.held is None:
            return
        process = self._current[server]
        process.may_hold |= set(answer.held)
        for hash_value in answer.held_hot_keys:
            self.track_key(hash_value)
        for hash_value in self._tracked:
            in_slice = slice_of(hash_value, self._slice_count) in answer.held
            if answer.held_hot_keys.get(hash_value, in_slice):
                process.may_hold.add(key_item(hash_value))
            else:
                process.may_hold.discard(key_item(hash_value))
        self.terms.record_inherited(
            server, answer.incarnation, answer.term_left_ms, now
        )

    def track_key(self, hash_value: int) -> None:
        """Treat a key as an item of its own; whoever holds its slice holds it."""
        if hash_value in self._tracked:
            return
        self._tracked.add(hash_value)
        slice_index = slice_of(hash_value, self._slice_count)
        for process in (*self._current.values(), *self._retired.values()):
            if slice_index in process.may_hold:
                process.may_hold.add(key_item(hash_value))
            if process.sent is not None and slice_index in process.sent:
                process.sent |= {key_item(hash_value)}

    @property
    def tracked_keys(self) -> frozenset[int]:
        """Hashes of the keys that are items of their own."""
        return frozenset(self._tracked)

    def untrack_merged_keys(self, hot_keys: Iterable[int]) -> None:
        """Merge keys back into their slice where one server holds both.

        :param hot_keys: hashes that stay items of their own.
        """
        for hash_value in self._tracked - set(hot_keys):
            item, slice_index = (
                key_item(hash_value),
                slice_of(hash_value, self._slice_count),
            )
            processes = (*self._current.values(), *self._retired.values())
            settled = all(
                (item in process.may_hold) == (slice_index in process.may_hold)
                and (process.sent is None or process.acknowledged)
                for process in processes
            )
            if not settled:
                continue
            self._tracked.discard(hash_value)
            for process in processes:
                process.may_hold.discard(item)
                if process.sent is not None:
                    process.sent -= {item}

    def expire(self, now: float) -> bool:
        """Clear what processes held whose terms have provably ended.

        Returns whether anything was cleared.
        """
        cleared = False
        for process in self._current.values():
            lapsed = self.terms.process_lapsed(process.server, process.incarnation, now)
            if lapsed and (process.may_hold or process.sent is not None):
                process.may_hold = set()
                process.forget_sent()
                cleared = True
        for key in list(self._retired):
            if self.terms.process_lapsed(*key, now):
                cleared = cleared or bool(self._retired[key].may_hold)
                self._retired[key].may_hold = set()
                self.terms.forget(*key)
        return cleared

    def may_hold(self, server: str) -> set[int]:
        """Return the items that a server's current process may hold."""
        process = self._current.get(server)
        return set() if process is None else process.may_hold

    def held_elsewhere(self, server: str) -> set[int]:
        """Return the items that any process but the server's current may hold."""
        held: set[int] = set()
        for process in (*self._current.values(), *self._retired.values()):
            if process is not self._current.get(server):
                held |= process.may_hold
        return held

    def acknowledged(self, server: str) -> frozenset[int]:
        """Return the items that a server has acknowledged to hold."""
        process = self._current.get(server)
        if process is None or process.sent is None or not process.acknowledged:
            return frozenset()
        return process.sent

    def is_new(self, server: str, items: frozenset[int]) -> bool:
        """Whether these items differ from those that were sent last."""
        process = self._current.get(server)
        return process is not None and process.sent != items

    def grant(
        self, server: str, items: frozenset[int], authority_end: float
    ) -> Grant | None:
        """Return a grant of exactly these items; ``None`` before any stamp.

        The caller sees to it that nobody else may hold them.
        """
        process = self._current.get(server)
        if process is None:
            return None
        stamp_ms, term_ms = self.terms.next_term(server, authority_end)
        self.terms.record_grant(server, term_ms)
        if process.sent == items and process.acknowledged:
            # With a term of 0 this is an inquiry, which brings a new stamp.
            return self._make(process.incarnation, stamp_ms, term_ms, None, {})
        hot_keys = self._hot_keys(items)
        slices = tuple(sorted(item for item in items if not is_key_item(item)))
        digest = holdings_digest(slices, hot_keys)
        if process.sent != items or process.digest != digest:
            process.sent = items
            process.acknowledged = False
            process.first_sequence = self._sequence + 1
            process.digest = digest
        process.may_hold |= items
        grant = self._make(process.incarnation, stamp_ms, term_ms, slices, hot_keys)
        process.last_sequence = grant.sequence
        return grant

    def _make(
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

    def _hot_keys(self, items: frozenset[int]) -> dict[int, bool]:
        hot_keys = {}
        for hash_value in self._tracked:
            owned = key_item(hash_value) in items
            if owned or slice_of(hash_value, self._slice_count) in items:
                hot_keys[hash_value] = owned
        return hot_keys

    def _replace(self, server: str, incarnation: str) -> _Process:
        old = self._current.get(server)
        if old is not None:
            self._retired[server, old.incarnation] = old
        while len(self._retired) > MAX_RETIRED:
            oldest = next(iter(self._retired))
            if self._retired[oldest].may_hold:
                break
            del self._retired[oldest]
        process = self._current[server] = _Process(server, incarnation)
        return process
