"""Which server owns which keys, as it lies in the store."""

from __future__ import annotations

__all__ = [
    "Assignment",
    "LeaderProcess",
    "OwnedRange",
    "OwnerIndex",
    "RangeMoveId",
    "check_order",
    "decode_assignment",
    "decode_ranges",
    "encode_assignment",
    "encode_ranges",
    "merge_adjacent",
    "range_move_id",
]

import json
from bisect import bisect_right
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..errors import JacinthpathError
from .model import KEY_COUNT


class OwnedRange(NamedTuple):
    """A range of keys with its owner.

    :param first: first key; ``last`` is the last one.
    :param server: owner, or the holder that has to give the keys up.
    :param address: where the owner takes orders, for a leader that does not see its
        entry.
    :param started_ms: start of the owner's life that the grant was made to.
    :param fence: fence of the grant.
    :param target: server that the keys are moving to, or an empty string.
    :param remaining_hold_s: with a target: how long after the target was written a
        grant to the holder may still be in force. No grant of the range is sent from
        then on.
    """

    first: int
    last: int
    server: str
    address: str
    started_ms: int
    fence: int
    target: str = ""
    remaining_hold_s: float = 0.0


class ServerIncarnation(NamedTuple):
    """One life of a server, as it is listed in the stored form."""

    server: str
    address: str
    started_ms: int


class LeaderProcess(NamedTuple):
    """A leader whose grants may still be on their way or in force.

    :param process_id: identity of its process.
    :param address: where peers reach it.
    """

    process_id: str
    address: str


class Assignment(NamedTuple):
    """Owners of all keyed services.

    :param fence: the highest fence given out so far.
    :param leaders: the leader that wrote it, last, and those before it whose grants
        may count.
    """

    fence: int
    ranges: dict[str, tuple[OwnedRange, ...]]
    leaders: tuple[LeaderProcess, ...] = ()


EMPTY_ASSIGNMENT = Assignment(0, {})


class RangeMoveId(NamedTuple):
    """Identifies one move of a range."""

    service: str
    first: int
    last: int
    fence: int


def range_move_id(service: str, owned: OwnedRange) -> RangeMoveId:
    """Return what identifies the move of a range."""
    return RangeMoveId(service, owned.first, owned.last, owned.fence)


class OwnerIndex:
    """Finds the owner of a key of one service."""

    def __init__(self, ranges: tuple[OwnedRange, ...]) -> None:
        self.ranges = ranges
        self._firsts = [owned.first for owned in ranges]

    def find(self, key: int) -> OwnedRange | None:
        """Return the range that holds a key, or ``None``."""
        index = bisect_right(self._firsts, key) - 1
        if index < 0:
            return None
        owned = self.ranges[index]
        return owned if key <= owned.last else None


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the stored form."""
    lives, rows = encode_ranges(assignment.ranges)
    document = {
        "fence": assignment.fence,
        "leaders": assignment.leaders,
        "lives": lives,
        "ranges": rows,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def encode_ranges(
    ranges_by_service: Mapping[str, tuple[OwnedRange, ...]],
) -> tuple[list[ServerIncarnation], dict[str, list[list]]]:
    """Return the lives of servers, and rows by service that name them by index."""
    lives: dict[ServerIncarnation, int] = {}
    rows = {
        service: [
            [
                owned.first,
                owned.last,
                lives.setdefault(
                    ServerIncarnation(owned.server, owned.address, owned.started_ms),
                    len(lives),
                ),
                owned.fence,
                *([owned.target, owned.remaining_hold_s] if owned.target else []),
            ]
            for owned in ranges
        ]
        for service, ranges in ranges_by_service.items()
    }
    return [*lives], rows


def decode_assignment(content: bytes) -> Assignment:
    """Read the stored form.

    :raises JacinthpathError: it cannot be read, or its ranges overlap.
    """
    try:
        document = json.loads(content)
        ranges = decode_ranges(document["lives"], document["ranges"])
        leaders = tuple(LeaderProcess(*row) for row in document["leaders"])
        assignment = Assignment(int(document["fence"]), ranges, leaders)
        for owned in ranges.values():
            check_order(owned)
    except (IndexError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise JacinthpathError(
            f"The assignment cannot be read: {error!r}.",
            "Remove the key jacinthpath/assignment once no server holds keys.",
        ) from error
    return assignment


def decode_ranges(
    lives: list, rows_by_service: Mapping[str, list]
) -> dict[str, tuple[OwnedRange, ...]]:
    """Return the ranges that :func:`encode_ranges` has made rows of."""
    return {
        service: tuple(_decode_range(row, lives) for row in rows)
        for service, rows in rows_by_service.items()
    }


def _decode_range(row: list, lives: list) -> OwnedRange:
    first, last, life, fence, *move = row
    server, address, born_ms = lives[life]
    return OwnedRange(first, last, server, address, born_ms, fence, *move)


def merge_adjacent(ranges: Iterable[OwnedRange], fence: int) -> tuple[OwnedRange, ...]:
    """Give all granted ranges one fence and join neighbours of the same owner.

    A range that moves keeps its fence: it is granted to nobody now, and the fence
    tells this move from others of the same keys.
    """
    merged: list[OwnedRange] = []
    for owned in ranges:
        if not owned.target:
            owned = owned._replace(fence=fence)
        previous = merged[-1] if merged else None
        if previous is not None and _joins(previous, owned):
            merged[-1] = previous._replace(last=owned.last)
        else:
            merged.append(owned)
    return tuple(merged)


def _joins(left: OwnedRange, right: OwnedRange) -> bool:
    return (
        left.last + 1 == right.first
        and left.server == right.server
        and left.started_ms == right.started_ms
        and not left.target
        and not right.target
    )


def check_order(ranges: tuple[OwnedRange, ...]) -> None:
    """Check that ranges rise and do not overlap.

    :raises ValueError: they do.
    """
    before = -1
    for owned in ranges:
        if not before < owned.first <= owned.last < KEY_COUNT:
            raise ValueError(f"range {owned.first} to {owned.last} is out of order")
        before = owned.last
