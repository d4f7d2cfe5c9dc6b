"""What differs between two assignments, for hosts that have the older one.

A leader changes a few of some hundred ranges several times a second and every host
needs them: whole assignments would fill a link of 25 Mbit/s with 90 hosts.
"""

from __future__ import annotations

__all__ = ["AssignmentHistory", "apply_delta", "encode_delta"]

import json

from ..errors import JacinthpathError
from .assignment import (
    Assignment,
    LeaderProcess,
    OwnedRange,
    check_order,
    decode_ranges,
    encode_ranges,
)

KEPT_ASSIGNMENTS = 8
"""Hosts ask several times a second, so they are a few assignments behind at most."""


class AssignmentHistory:
    """The newest assignments, to tell hosts what has changed since theirs."""

    def __init__(self) -> None:
        self._kept: dict[int, Assignment] = {}
        self._newest = 0
        self._encoded: dict[int, bytes] = {}

    def add(self, revision: int, assignment: Assignment) -> None:
        """Keep an assignment that is newer than all before."""
        self._kept[revision] = assignment
        self._newest = revision
        self._encoded.clear()
        while len(self._kept) > KEPT_ASSIGNMENTS:
            del self._kept[next(iter(self._kept))]

    def delta_since(self, revision: int) -> bytes | None:
        """Return the change from a revision to the newest assignment.

        :return: ``None`` if the assignment of that revision is not kept.
        """
        if revision not in self._kept or revision == self._newest:
            return None
        if revision not in self._encoded:
            older, newer = self._kept[revision], self._kept[self._newest]
            self._encoded[revision] = encode_delta(older, newer)
        return self._encoded[revision]


def encode_delta(older: Assignment, newer: Assignment) -> bytes:
    """Return what :func:`apply_delta` makes ``newer`` from ``older`` with."""
    removed: dict[str, list[int]] = {}
    added: dict[str, tuple[OwnedRange, ...]] = {}
    for service in {**older.ranges, **newer.ranges}:
        before, after = older.ranges.get(service, ()), newer.ranges.get(service, ())
        if before == after:
            continue
        known = set(before)
        kept = set(after)
        removed[service] = [owned.first for owned in before if owned not in kept]
        added[service] = tuple(owned for owned in after if owned not in known)
    lives, rows = encode_ranges(added)
    document = {
        "fence": newer.fence,
        "leaders": newer.leaders,
        "lives": lives,
        "removed": removed,
        "ranges": rows,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def apply_delta(older: Assignment, content: bytes) -> Assignment:
    """Return the assignment that a change makes from ``older``.

    :raises JacinthpathError: the change cannot be read or does not fit.
    """
    try:
        document = json.loads(content)
        added = decode_ranges(document["lives"], document["ranges"])
        ranges = dict(older.ranges)
        for service, firsts in document["removed"].items():
            changed = _changed(ranges.get(service, ()), firsts, added[service])
            check_order(changed)
            ranges[service] = changed
        leaders = tuple(LeaderProcess(*row) for row in document["leaders"])
        fence = int(document["fence"])
    except (IndexError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise JacinthpathError(
            f"A change of the assignment cannot be read: {error!r}.",
            "The whole assignment is asked for next.",
        ) from error
    held = {service: owned for service, owned in ranges.items() if owned}
    return Assignment(fence, held, leaders)


def _changed(
    before: tuple[OwnedRange, ...],
    removed_firsts: list[int],
    added: tuple[OwnedRange, ...],
) -> tuple[OwnedRange, ...]:
    removed = set(removed_firsts)
    kept = [owned for owned in before if owned.first not in removed]
    return tuple(sorted([*kept, *added], key=lambda owned: owned.first))
