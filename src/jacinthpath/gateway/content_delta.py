"""Deltas between two versions of a document that have most of their bytes in common.

A document is split into records after each ``]``, which ends a row of a JSON table. The
parts of a delta copy runs of records from the older version, or hold new bytes.
"""

from __future__ import annotations

__all__ = [
    "MAX_CONTENT_BYTES",
    "ContentHistory",
    "Part",
    "apply_parts",
    "content_digest",
    "make_parts",
]

from collections.abc import Iterable
from itertools import accumulate
from typing import NamedTuple

import xxhash

from ..errors import JacinthpathError

RECORD_END = b"]"

MAX_CONTENT_BYTES = 2 * 1024 * 1024
"""The store's longest value has 1 MB."""

MAX_KEPT_VERSIONS = 12
MAX_KEPT_BYTES = 1024 * 1024
"""Operators write several versions a second at times, and hosts ask as often."""


class Part(NamedTuple):
    """One part of a delta.

    :param start_bytes: offset in the older version of the bytes to copy.
    :param length_bytes: how many bytes to copy; 0 if ``new`` holds the part.
    """

    start_bytes: int
    length_bytes: int
    new: bytes = b""


class ContentHistory:
    """Keeps the newest versions of a document, and makes deltas from them.

    Versions are named by :func:`content_digest`.
    """

    def __init__(self) -> None:
        self._kept: dict[int, bytes] = {}
        self._newest_digest = 0
        self._parts: dict[int, tuple[Part, ...]] = {}

    def add(self, digest: int, content: bytes) -> None:
        """Add a version that is newer than all added before."""
        self._kept.pop(digest, None)
        self._kept[digest] = content
        self._newest_digest = digest
        self._parts.clear()
        while len(self._kept) > 1 and self._is_full():
            del self._kept[next(iter(self._kept))]

    def parts_since(self, digest: int) -> tuple[Part, ...] | None:
        """Return the parts that make the newest version from an older one.

        :return: ``None`` if that version is not kept.
        """
        older = self._kept.get(digest)
        if older is None:
            return None
        if digest not in self._parts:
            newest = self._kept[self._newest_digest]
            self._parts[digest] = make_parts(older, newest)
        return self._parts[digest]

    def _is_full(self) -> bool:
        kept_bytes = sum(map(len, self._kept.values()))
        return len(self._kept) > MAX_KEPT_VERSIONS or kept_bytes > MAX_KEPT_BYTES


def content_digest(content: bytes) -> int:
    """Return a digest of a document, 0 for an empty one."""
    return xxhash.xxh64_intdigest(content) if content else 0


def make_parts(older: bytes, newer: bytes) -> tuple[Part, ...]:
    """Return the parts that make ``newer`` from ``older``."""
    old_records = _split(older)
    starts = [0, *accumulate(map(len, old_records))]
    places = {record: place for place, record in enumerate(old_records)}
    runs = _Runs()
    next_place = 0
    for record in _split(newer):
        if next_place < len(old_records) and old_records[next_place] == record:
            place = next_place
        else:
            place = places.get(record, -1)
        if place < 0:
            runs.add_new(record)
        else:
            runs.add_copy(starts[place], starts[place + 1])
            next_place = place + 1
    return runs.parts()


def apply_parts(older: bytes, parts: Iterable[Part], digest: int) -> bytes:
    """Return the version that a delta makes from ``older``.

    :param digest: of the version that it should make.
    :raises JacinthpathError: it makes another one.
    """
    parts = [*parts]
    if sum(len(part.new) or part.length_bytes for part in parts) > MAX_CONTENT_BYTES:
        raise JacinthpathError(
            f"The delta makes more than {MAX_CONTENT_BYTES} bytes.",
            "The whole document is requested next.",
        )
    content = b"".join(
        part.new or older[part.start_bytes : part.start_bytes + part.length_bytes]
        for part in parts
    )
    if content_digest(content) != digest:
        raise JacinthpathError(
            "The delta does not apply to the version that this host has.",
            "The whole document is requested next.",
        )
    return content


def _split(content: bytes) -> list[bytes]:
    """Return the records of a document; joined they are the document."""
    records = content.split(RECORD_END)
    last = records.pop()
    ended = [record + RECORD_END for record in records]
    return [*ended, last] if last else ended


class _Runs:
    """Collects the parts of a delta; adjacent ones of a kind become one."""

    def __init__(self) -> None:
        self._parts: list[Part] = []
        self._new_records: list[bytes] = []
        self._copy_start = self._copy_end = 0

    def add_new(self, record: bytes) -> None:
        """Add bytes that the older version does not have."""
        self._end_copy()
        self._new_records.append(record)

    def add_copy(self, start_bytes: int, end_bytes: int) -> None:
        """Add a range of the older version."""
        self._end_new()
        if self._copy_end != start_bytes:
            self._end_copy()
            self._copy_start = start_bytes
        self._copy_end = end_bytes

    def parts(self) -> tuple[Part, ...]:
        """Return all parts."""
        self._end_copy()
        self._end_new()
        return tuple(self._parts)

    def _end_copy(self) -> None:
        length_bytes = self._copy_end - self._copy_start
        if length_bytes:
            self._parts.append(Part(self._copy_start, length_bytes))
        self._copy_start = self._copy_end = 0

    def _end_new(self) -> None:
        if self._new_records:
            self._parts.append(Part(0, 0, b"".join(self._new_records)))
            self._new_records.clear()
