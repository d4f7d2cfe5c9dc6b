"""Revisions of the store, ordered across restores from an older copy.

When the store comes back from a copy, its revisions go back and are given out again.
The era in its responses then rises by one, so a revision is kept together with its era
in one integer, and the later of two revisions is the greater integer. Fencing tokens
contain the era too: the record of the highest token may be lost in a restore, and a
token must never be used twice.
"""

from __future__ import annotations

__all__ = [
    "MAX_ERA",
    "MAX_STORE_REVISION",
    "era_of_revision",
    "make_revision",
    "minimum_fence",
    "store_revision_of",
]

REVISION_BITS = 48
FENCE_BITS = 32
MAX_STORE_REVISION = (1 << REVISION_BITS) - 1
MAX_ERA = 2**15 - 1
"""Revisions fit into 63 bits, and fencing tokens into the integers that JSON readers
represent exactly."""


def make_revision(era: int, store_revision: int) -> int:
    """Return the revision for a store's revision in an era."""
    return era << REVISION_BITS | store_revision


def era_of_revision(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> REVISION_BITS


def store_revision_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & ((1 << REVISION_BITS) - 1)


def minimum_fence(era: int) -> int:
    """Return a fencing token above all of earlier eras."""
    return era << FENCE_BITS
