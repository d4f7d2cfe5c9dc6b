"""Deltas between two assignments, for hosts that have the older one.

The leader changes a few of some hundred ranges several times a second, and every host
needs the changes. With 90 hosts, whole assignments would fill a link of 25 Mbit/s.
"""

from __future__ import annotations

__all__ = ["AssignmentHistory", "apply_delta", "encode_delta"]

import json

from ..errors import JacinthpathError
from ..json_documents import UNREADABLE, check_integer, describe, parse_json
from .assignment import (
    MAX_FENCE,
    Assignment,
    OwnedRange,
    check_order,
    decode_leaders,
    decode_ranges,
    encode_ranges,
)

MAX_KEPT_ASSIGNMENTS = 8
"""Hosts ask several times a second, so they are at most a few assignments behind."""


class AssignmentHistory:
    """Keeps the newest assignments and encodes deltas from them."""

    def __init__(self) -> None:
        self._kept: dict[int, Assignment] = {}
        self._newest_revision = 0
        self._encoded: dict[int, bytes] = {}

    def add(self, revision: int, assignment: Assignment) -> None:
        """Add an assignment that is newer than all added before."""
        self._kept[revision] = assignment
        self._newest_revision = revision
        self._encoded.clear()
        while len(self._kept) > MAX_KEPT_ASSIGNMENTS:
            del self._kept[next(iter(self._kept))]

    def delta_since(self, revision: int) -> bytes | None:
        """Return the delta from a revision to the newest assignment.

        :return: ``None`` if that revision is not kept, or is the newest itself.
        """
        if revision not in self._kept or revision == self._newest_revision:
            return None
        if revision not in self._encoded:
            older, newer = self._kept[revision], self._kept[self._newest_revision]
            self._encoded[revision] = encode_delta(older, newer)
        return self._encoded[revision]


def encode_delta(older: Assignment, newer: Assignment) -> bytes:
    """Return the delta for :func:`apply_delta` from ``older`` to ``newer``."""
    removed: dict[str, list[int]] = {}
    added: dict[str, tuple[OwnedRange, ...]] = {}
    for service in {**older.ranges, **newer.ranges}:
        old, new = older.ranges.get(service, ()), newer.ranges.get(service, ())
        if old == new:
            continue
        old_set = set(old)
        new_set = set(new)
        removed[service] = [owned.first for owned in old if owned not in new_set]
        added[service] = tuple(owned for owned in new if owned not in old_set)
    incarnations, rows = encode_ranges(added)
    document = {
        "fence": newer.fence,
        "leaders": newer.leaders,
        "era": newer.confirmed_era,
        "settledEra": newer.settled_era,
        "lives": incarnations,
        "removed": removed,
        "ranges": rows,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def apply_delta(older: Assignment, content: bytes) -> Assignment:
    """Return the assignment that a delta makes from ``older``.

    :raises JacinthpathError: the delta is malformed or does not apply to ``older``.
    """
    try:
        document = parse_json(content, check_depth=False)
        added = decode_ranges(document["lives"], document["ranges"])
        ranges = dict(older.ranges)
        for service, firsts in document["removed"].items():
            merged = _merge_ranges(ranges.get(service, ()), firsts, added[service])
            check_order(merged)
            ranges[service] = merged
        leaders = decode_leaders(document["leaders"])
        fence = check_integer(document["fence"], 0, MAX_FENCE)
        confirmed_era = int(document.get("era", 0))
        settled_era = int(document.get("settledEra", 0))
    except UNREADABLE as error:
        raise JacinthpathError(
            f"The assignment delta cannot be applied: {describe(error)}.",
            "The whole assignment is requested next.",
        ) from error
    non_empty = {service: owned for service, owned in ranges.items() if owned}
    return Assignment(fence, non_empty, leaders, confirmed_era, settled_era)


def _merge_ranges(
    old_ranges: tuple[OwnedRange, ...],
    removed_firsts: list[int],
    added: tuple[OwnedRange, ...],
) -> tuple[OwnedRange, ...]:
    removed = set(removed_firsts)
    kept = [owned for owned in old_ranges if owned.first not in removed]
    # Ranges sort by their first key.
    return tuple(sorted([*kept, *added]))
