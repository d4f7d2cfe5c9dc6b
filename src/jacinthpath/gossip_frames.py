"""Conversion between gossip frames and the types of the gossip node."""

from __future__ import annotations

__all__ = [
    "announce_frame",
    "digest_frame",
    "fetch_frame",
    "publish_frame",
    "read_digest",
    "read_topics",
]

from collections.abc import Iterable, Mapping
from typing import Any

from .codec import new_frame
from .dissemination import Digest, Topic

# Largest age that a frame can carry; it also stands for no confirmation at all.
MAX_AGE_MS = 2**32 - 1


def digest_frame(digest: Digest) -> Any:
    """Return the frame of a digest."""
    frame = new_frame()
    content = frame.body.init("digest")
    _write_versions(content, digest.versions)
    age_s = min(digest.confirmed_age_s, MAX_AGE_MS / 1000)
    content.confirmedAgeMs = max(0, int(age_s * 1000))
    content.storeDown = digest.store_down
    content.sender = digest.sender
    content.incarnation = digest.incarnation
    content.leaving = digest.leaving
    content.suspects = list(digest.suspects)
    return frame


def announce_frame(sender: str, name: str, version: int) -> Any:
    """Return a one-way digest with one topic that is too large to push."""
    frame = new_frame()
    content = frame.body.init("digest")
    content.sender = sender
    content.confirmedAgeMs = MAX_AGE_MS
    _write_versions(content, {name: version})
    return frame


def publish_frame(topics: Iterable[Topic]) -> Any:
    """Return the frame that publishes topics."""
    topics = tuple(topics)
    frame = new_frame()
    entries = frame.body.init("publish").init("topics", len(topics))
    for entry, topic in zip(entries, topics, strict=True):
        entry.name, entry.version, entry.content = topic
    return frame


def fetch_frame(names: Iterable[str]) -> Any:
    """Return the request for topics."""
    frame = new_frame()
    frame.body.init("fetch").names = list(names)
    return frame


def read_digest(frame: Any) -> Digest:
    """Return the digest in a frame."""
    content = frame.body.digest
    age_ms = content.confirmedAgeMs
    return Digest(
        content.sender,
        {entry.name: entry.version for entry in content.topics},
        float("inf") if age_ms == MAX_AGE_MS else age_ms / 1000,
        content.storeDown,
        content.incarnation,
        content.leaving,
        tuple(content.suspects),
    )


def read_topics(frame: Any) -> tuple[Topic, ...]:
    """Return the topics in a publish frame."""
    return tuple(
        Topic(entry.name, entry.version, bytes(entry.content))
        for entry in frame.body.publish.topics
    )


def _write_versions(content: Any, versions: Mapping[str, int]) -> None:
    entries = content.init("topics", len(versions))
    for entry, (name, version) in zip(entries, versions.items(), strict=True):
        entry.name, entry.version = name, version
