"""Encodes and decodes the evacuated data centres in peer frames."""

from __future__ import annotations

__all__ = ["apply_evacuations", "has_newer_evacuations", "write_evacuations"]

from typing import Any

from .clock import boottime_s
from .cluster_view import ClusterView

MAX_AGE_S = 4_000_000.0
"""Largest age that fits into a message."""


def has_newer_evacuations(view: ClusterView, wanted: Any) -> bool:
    """Return whether this host knows newer evacuations than the requester."""
    revision = view.evacuated.revision
    return wanted.takesEvacuations and revision > wanted.evacuationsRevision


def write_evacuations(content: Any, wanted: Any, view: ClusterView) -> None:
    """Write the evacuations if they are newer.

    The revision is always written: it tells that the sender follows evacuations, so
    that the requester need not read them from the store.
    """
    if not wanted.takesEvacuations:
        return
    content.evacuationsRevision = view.evacuated.revision
    if not has_newer_evacuations(view, wanted):
        return
    now_s = boottime_s()
    evacuated = view.evacuated.listed()
    entries = content.init("evacuated", len(evacuated))
    for entry, (name, since_s) in zip(entries, evacuated.items(), strict=True):
        entry.dataCentre = name
        entry.ageMs = int(1000 * min(MAX_AGE_S, max(0.0, now_s - since_s)))


def apply_evacuations(content: Any, view: ClusterView, source: str) -> None:
    """Apply the evacuations in a message if they are newer."""
    ages_s = {entry.dataCentre: entry.ageMs / 1000 for entry in content.evacuated}
    view.evacuations.replace_by_peer(ages_s, content.evacuationsRevision, source)
