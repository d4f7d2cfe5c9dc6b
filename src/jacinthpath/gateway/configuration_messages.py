"""Encodes and decodes the operator's configuration in peer frames.

A requester that has an earlier version gets what changed. Otherwise it gets the whole
document, compressed, unless that takes too much of this host's link: then it reads the
store, which takes its own link.
"""

from __future__ import annotations

__all__ = [
    "MAX_AGE_MS",
    "ConfigurationForm",
    "apply_configuration",
    "choose_form",
    "configuration_age_s",
    "has_newer_configuration",
    "write_configuration",
]

import enum
from collections.abc import Callable
from typing import Any

from .cluster_view import ClusterView
from .configuration_state import ConfigurationState
from .content_delta import Part
from .model import Documents

SMALL_CHANGE_BYTES = 2_048
"""A change of this size is sent to each host that asks; larger ones count as whole
documents."""

PART_OVERHEAD_BYTES = 16
MAX_AGE_MS = 4_000_000_000
"""Largest age that fits into a message; also sent when the age is not known."""


class ConfigurationForm(enum.Enum):
    """How a response contains the configuration."""

    NONE = enum.auto()
    """The requester has it, or does not want it."""
    PARTS = enum.auto()
    COMPRESSED = enum.auto()
    PLAIN = enum.auto()
    """For requesters of earlier builds."""
    AT_STORE = enum.auto()
    """The requester is to read the store."""


def has_newer_configuration(newest: Documents, wanted: Any) -> bool:
    """Return whether this host has a newer configuration than the requester.

    A requester of an earlier build does not send the version. A configuration that the
    requester could not read, or reads from the store, does not count.
    """
    if wanted.configurationUnwanted == newest.configuration_digest != 0:
        return False
    newer_revision = newest.configuration_revision > wanted.configurationRevision
    if not wanted.configurationVersion:
        return newer_revision
    if newest.configuration_version != wanted.configurationVersion:
        return newest.configuration_version > wanted.configurationVersion
    return newer_revision


def choose_form(
    view: ClusterView, wanted: Any, may_send: Callable[[int], bool]
) -> ConfigurationForm:
    """Return how to send the configuration to a requester.

    :param may_send: takes so many bytes from the budget of the link, unless it is used
        up; called at most once.
    """
    if not has_newer_configuration(view.newest_documents(), wanted):
        return ConfigurationForm.NONE
    state = view.configuration
    parts = state.parts_since(wanted.configurationDigest) if wanted.takesParts else None
    if parts is not None and _size_bytes(parts) <= SMALL_CHANGE_BYTES:
        return ConfigurationForm.PARTS
    if not wanted.takesCompressed:
        return ConfigurationForm.PLAIN
    return _choose_large_form(state, parts, may_send, wanted.storeFails)


def _choose_large_form(
    state: ConfigurationState,
    parts: tuple[Part, ...] | None,
    may_send: Callable[[int], bool],
    store_fails: bool,
) -> ConfigurationForm:
    size_bytes = len(state.compressed())
    form = ConfigurationForm.COMPRESSED
    if parts is not None and _size_bytes(parts) < size_bytes:
        size_bytes = _size_bytes(parts)
        form = ConfigurationForm.PARTS
    if may_send(size_bytes) or store_fails:
        return form
    return ConfigurationForm.AT_STORE


def _size_bytes(parts: tuple[Part, ...]) -> int:
    return sum(len(part.new) + PART_OVERHEAD_BYTES for part in parts)


def write_configuration(
    content: Any, wanted: Any, state: ConfigurationState, form: ConfigurationForm
) -> None:
    """Write the configuration in a form, its revision and its age."""
    content.configurationAgeMs = 1 + _milliseconds(state.age_s())
    content.configurationRevision = state.revision
    if form is ConfigurationForm.PLAIN:
        content.configuration = state.content
        return
    content.configurationDigest = state.digest
    if form is ConfigurationForm.PARTS:
        content.configurationBase = wanted.configurationDigest
        parts = state.parts_since(wanted.configurationDigest)
        entries = content.init("configurationParts", len(parts))
        for entry, part in zip(entries, parts, strict=True):
            entry.startBytes, entry.lengthBytes, entry.new = part
    elif form is ConfigurationForm.COMPRESSED:
        content.configurationCompressed = state.compressed()
    content.configurationAtStore = form is ConfigurationForm.AT_STORE


def apply_configuration(content: Any, view: ClusterView, source: str) -> None:
    """Apply the configuration that a peer has sent, and how current it is."""
    revision, digest = content.configurationRevision, content.configurationDigest
    if content.configuration:
        view.apply_configuration(bytes(content.configuration), revision, source)
    elif content.configurationCompressed:
        compressed = bytes(content.configurationCompressed)
        view.apply_compressed_configuration(compressed, digest, revision, source)
    elif content.configurationBase == view.configuration.digest != 0:
        parts = [
            Part(entry.startBytes, entry.lengthBytes, bytes(entry.new))
            for entry in content.configurationParts
        ]
        view.apply_configuration_parts(parts, digest, revision, source)
    if view.configuration.revision >= revision:
        view.configuration.record_confirmed(configuration_age_s(content))


def configuration_age_s(content: Any) -> float:
    """Return how long ago the sender's configuration was confirmed.

    A sender of an earlier build tells only the age of its servers.
    """
    if not content.configurationAgeMs:
        return content.ageMs / 1000
    return (content.configurationAgeMs - 1) / 1000


def _milliseconds(age_s: float) -> int:
    """Return an age that fits into a message."""
    return int(min(MAX_AGE_MS, age_s * 1000))
