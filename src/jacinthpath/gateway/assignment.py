"""Which server owns which keys, as stored under the assignment key."""

from __future__ import annotations

__all__ = [
    "EMPTY_ASSIGNMENT",
    "Assignment",
    "LeaderProcess",
    "OwnedRange",
    "OwnerIndex",
    "RangeMoveId",
    "check_order",
    "decode_assignment",
    "decode_leaders",
    "decode_ranges",
    "encode_assignment",
    "encode_ranges",
    "set_fence_and_merge",
    "range_move_id",
]

import json
from bisect import bisect_right
from collections.abc import Iterable, Mapping
from operator import le, lt
from typing import NamedTuple

from ..errors import JacinthpathError
from ..json_documents import (
    UNREADABLE,
    check_integer,
    check_text,
    describe,
    parse_json,
)
from .model import KEY_COUNT

MAX_FENCE = 2**53
"""Readers of JSON represent integers up to this exactly."""


class OwnedRange(NamedTuple):
    """A range of keys with its owner.

    :param first: first key; ``last`` is the last one.
    :param server: owner, or the holder that has to release the keys while they move.
    :param address: where the owner receives commands, for a leader that does not know
        its entry.
    :param started_ms: start time of the owner's incarnation that the grant is for.
    :param fence: fencing token of the grant.
    :param target: server that the keys are moving to, or an empty string.
    :param remaining_hold_s: with a target: how long after the target was written a
        grant to the holder may still be valid. No grant of the range is sent once the
        target is written.
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
    """One incarnation of a server, as listed in the stored form."""

    server: str
    address: str
    started_ms: int


class LeaderProcess(NamedTuple):
    """A process that leads or has led; its grants may still be in transit or valid.

    :param process_id: random identity of the process.
    :param address: where peers reach it.
    """

    process_id: str
    address: str


class Assignment(NamedTuple):
    """Owners of the keys of all keyed services.

    :param fence: the highest fence assigned so far.
    :param leaders: the previous leaders whose grants may still be valid, then the
        leader that wrote this assignment.
    :param confirmed_era: era of the store in which no other server can hold the keys
        of a range; in a later one, lost writes may have given them to another.
    :param settled_era: era in which no grant from before it can be valid, so that the
        keys of a service without ranges are free.
    """

    fence: int
    ranges: dict[str, tuple[OwnedRange, ...]]
    leaders: tuple[LeaderProcess, ...] = ()
    confirmed_era: int = 0
    settled_era: int = 0


EMPTY_ASSIGNMENT = Assignment(0, {})


class RangeMoveId(NamedTuple):
    """Identifies one move of a range."""

    service: str
    first: int
    last: int
    fence: int


def range_move_id(service: str, owned: OwnedRange) -> RangeMoveId:
    """Return the identity of the move of a range."""
    return RangeMoveId(service, owned.first, owned.last, owned.fence)


class OwnerIndex:
    """Finds the owner of a key of one service."""

    def __init__(self, ranges: tuple[OwnedRange, ...]) -> None:
        self.ranges = ranges
        self._firsts = [owned.first for owned in ranges]

    def find(self, key: int) -> OwnedRange | None:
        """Return the range that contains a key, or ``None``."""
        index = bisect_right(self._firsts, key) - 1
        if index < 0:
            return None
        owned = self.ranges[index]
        return owned if key <= owned.last else None


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the stored form."""
    incarnations, rows = encode_ranges(assignment.ranges)
    document = {
        "fence": assignment.fence,
        "leaders": assignment.leaders,
        "era": assignment.confirmed_era,
        "settledEra": assignment.settled_era,
        "lives": incarnations,
        "ranges": rows,
    }
    return json.dumps(document, separators=(",", ":")).encode()


def encode_ranges(
    ranges_by_service: Mapping[str, tuple[OwnedRange, ...]],
) -> tuple[list[ServerIncarnation], dict[str, list[list]]]:
    """Return server incarnations, and rows by service that refer to them by index."""
    incarnations: dict[ServerIncarnation, int] = {}
    rows = {
        service: [
            [
                owned.first,
                owned.last,
                incarnations.setdefault(
                    ServerIncarnation(owned.server, owned.address, owned.started_ms),
                    len(incarnations),
                ),
                owned.fence,
                *([owned.target, owned.remaining_hold_s] if owned.target else []),
            ]
            for owned in ranges
        ]
        for service, ranges in ranges_by_service.items()
    }
    return [*incarnations], rows


def decode_assignment(content: bytes) -> Assignment:
    """Decode the stored form.

    :raises JacinthpathError: it is malformed, or its ranges overlap.
    """
    try:
        document = parse_json(content, check_depth=False)
        ranges = decode_ranges(document["lives"], document["ranges"])
        assignment = Assignment(
            check_integer(document["fence"], 0, MAX_FENCE),
            ranges,
            decode_leaders(document["leaders"]),
            int(document.get("era", 0)),
            int(document.get("settledEra", 0)),
        )
        for owned in ranges.values():
            check_order(owned)
    except UNREADABLE as error:
        raise JacinthpathError(
            f"The assignment cannot be decoded: {describe(error)}.",
            "Remove the key jacinthpath/assignment once no server holds a grant.",
        ) from error
    return assignment


def decode_ranges(
    incarnations: list, rows_by_service: Mapping[str, list]
) -> dict[str, tuple[OwnedRange, ...]]:
    """Return the ranges from the rows of :func:`encode_ranges`."""
    decoded = [_decode_incarnation(row) for row in incarnations]
    return {
        check_text(service): tuple(_decode_range(row, decoded) for row in rows)
        for service, rows in rows_by_service.items()
    }


def decode_leaders(rows: list) -> tuple[LeaderProcess, ...]:
    """Return the leaders from their rows of an encoded assignment."""
    return tuple(
        LeaderProcess(check_text(process_id), check_text(address))
        for process_id, address in rows
    )


def _decode_incarnation(row: list) -> tuple[str, str, int]:
    """Return server, address and start time of a server incarnation."""
    server, address, started_ms = row
    if address:
        check_text(address)
    return check_text(server), address or "", check_integer(started_ms, 0, MAX_FENCE)


def _decode_range(row: list, incarnations: list[tuple[str, str, int]]) -> OwnedRange:
    first, last, incarnation, fence, *move = row
    if not (type(first) is int and type(last) is int and type(fence) is int):
        raise TypeError("the keys and the fence of a range are not integers")
    server, address, started_ms = incarnations[incarnation]
    if not move:
        return OwnedRange(first, last, server, address, started_ms, fence)
    target, remaining_hold_s = move
    return OwnedRange(
        first,
        last,
        server,
        address,
        started_ms,
        fence,
        check_text(target),
        float(remaining_hold_s),
    )


def set_fence_and_merge(
    ranges: Iterable[OwnedRange], fence: int
) -> tuple[OwnedRange, ...]:
    """Set one fence on all ranges and merge adjacent ones of the same incarnation.

    A moving range keeps its fence and stays separate: no grant of it is sent, and
    the fence distinguishes this move from others of the same keys.
    """
    merged: list[OwnedRange] = []
    for owned in ranges:
        if not owned.target:
            owned = owned._replace(fence=fence)
        previous = merged[-1] if merged else None
        if previous is not None and _can_merge(previous, owned):
            merged[-1] = previous._replace(last=owned.last)
        else:
            merged.append(owned)
    return tuple(merged)


def _can_merge(left: OwnedRange, right: OwnedRange) -> bool:
    return (
        left.last + 1 == right.first
        and left.server == right.server
        and left.started_ms == right.started_ms
        and not left.target
        and not right.target
    )


def check_order(ranges: tuple[OwnedRange, ...]) -> None:
    """Check that ranges are in ascending order and do not overlap.

    :raises ValueError: they are not, or a range is empty or exceeds the key space.
    """
    firsts = [owned.first for owned in ranges]
    lasts = [owned.last for owned in ranges]
    in_order = (
        all(map(le, firsts, lasts))
        and all(map(lt, lasts, firsts[1:]))
        and (not ranges or (firsts[0] >= 0 and lasts[-1] < KEY_COUNT))
    )
    if not in_order:
        raise ValueError("the ranges overlap or are out of order")
