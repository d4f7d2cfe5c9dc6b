"""Hashes that are the same on all hosts and in all releases."""

from __future__ import annotations

__all__ = ["key_hash", "rendezvous_rank", "slice_of"]

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

HASH_BITS = 64


def key_hash(key: str) -> int:
    """Return the 64-bit hash of a key."""
    return xxh3_64_intdigest(key.encode())


def slice_of(hash_value: int, slice_count: int) -> int:
    """Return the slice of the hash space that a key hash falls into.

    :param hash_value: result of :func:`key_hash`.
    :param slice_count: number of equal slices of the hash space.
    """
    return (hash_value * slice_count) >> HASH_BITS


def rendezvous_rank(item: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending rendezvous weight for ``item``.

    Adding or removing a candidate leaves the relative order of all others
    unchanged, so a choice by rank changes as little as possible.
    """
    return sorted(
        candidates,
        key=lambda name: (xxh3_64_intdigest(f"{item}\0{name}".encode()), name),
        reverse=True,
    )
