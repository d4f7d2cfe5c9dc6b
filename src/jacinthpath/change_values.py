"""Stored format of the operators' configuration and its history.

The value contains the metadata of the last versions, so that compare-and-swap
writes a change and its history entry atomically. The content of each older
version has its own key, in a ring of :data:`HISTORY_LENGTH` keys, because a
value is limited to 1 MB.
"""

from __future__ import annotations

__all__ = [
    "CONFIGURATION_KEY",
    "HISTORY_LENGTH",
    "ChangeEntry",
    "ConfigurationValue",
    "DamagedValue",
    "decode_value",
    "derive_change_id",
    "encode_fields",
    "encode_topic_content",
    "encode_value",
    "history_key",
]

import hashlib
import json
from typing import Any, NamedTuple

from .errors import StoreError

CONFIGURATION_KEY = "configuration/current"
HISTORY_LENGTH = 50
MAX_VALUE_BYTES = 1_000_000
MAX_AUTHOR_CHARACTERS = 100
MAX_UNITS_LISTED = 10


class DamagedValue(StoreError):
    """A stored value is not a valid configuration value or was altered."""

    exit_code = 7

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(
            f"The value of {key} is damaged: {reason}.",
            "Hosts keep their version. Take the newest version from `jacinthpath "
            "configuration history` and apply it with --replace-damaged.",
        )


class ChangeEntry(NamedTuple):
    """Metadata of one version.

    :param version: incremented by one with each change.
    :param change_id: ID of the change, the same for each attempt.
    :param author: operator who made the change.
    :param parent: version that the change is based on.
    :param time: time of the write, ISO 8601 in UTC.
    :param changed: the first templates and accounts that it changed, and the
        number of the others.
    """

    version: int
    change_id: str
    author: str
    parent: int
    time: str
    changed: tuple[str, ...] = ()


class ConfigurationValue(NamedTuple):
    """One version with its content.

    :param entry: metadata of this version.
    :param content: TOML document.
    :param history: metadata of earlier versions, newest first.
    """

    entry: ChangeEntry
    content: str
    history: tuple[ChangeEntry, ...] = ()

    def find_change(self, change_id: str) -> ChangeEntry | None:
        """Return the version that a change created, or ``None`` if not kept."""
        for entry in (self.entry, *self.history):
            if entry.change_id == change_id:
                return entry
        return None


def derive_change_id(content: str, parent: int, author: str) -> str:
    """Return the ID of a change, the same for each attempt."""
    text = json.dumps([content, parent, author])
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def history_key(version: int) -> str:
    """Return the key for the content of an older version."""
    return f"configuration/history/{version % HISTORY_LENGTH}"


def encode_value(value: ConfigurationValue) -> bytes:
    """Return the encoded value.

    :raises StoreError: the value would exceed the store's limit.
    """
    data = encode_fields({**_fields(value), "history": [*map(list, value.history)]})
    if len(data) > MAX_VALUE_BYTES:
        raise StoreError(
            f"The stored value would have {len(data)} bytes; the limit is "
            f"{MAX_VALUE_BYTES}.",
            "Shorten the document; quotes and line ends count as two bytes.",
        )
    return data


def encode_topic_content(data: bytes) -> bytes:
    """Return a stored value without its history, as it is sent to hosts.

    The result depends only on the stored bytes, so all watchers publish the same
    bytes, even if a newer release added a field.

    :param data: a value that :func:`decode_value` accepts.
    """
    fields = json.loads(data)
    fields.pop("history", None)
    fields.pop("checksum")
    return encode_fields(fields)


def decode_value(key: str, data: bytes) -> ConfigurationValue:
    """Decode a stored value.

    :raises DamagedValue: it is not a valid configuration value or was altered.
    """
    if len(data) > MAX_VALUE_BYTES:
        raise DamagedValue(key, f"{len(data)} bytes")
    try:
        fields = json.loads(data)
        checksum = fields.pop("checksum")
        if checksum != _checksum(fields):
            raise DamagedValue(key, "the checksum does not match")
        history = [_decode_entry(item) for item in fields.get("history", [])]
        names = ChangeEntry._fields
        entry = _decode_entry([fields[name] for name in names])
        content = fields["content"]
        if not isinstance(content, str) or entry.version < 1:
            raise DamagedValue(key, "a field has the wrong type")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise DamagedValue(key, f"{type(error).__name__}") from error
    return ConfigurationValue(entry, content, tuple(history))


def _fields(value: ConfigurationValue) -> dict[str, Any]:
    return {**value.entry._asdict(), "content": value.content}


def encode_fields(fields: dict[str, Any]) -> bytes:
    """Encode the fields of a value with their checksum."""
    fields = json.loads(json.dumps(fields))
    fields["checksum"] = _checksum(fields)
    return json.dumps(fields, ensure_ascii=False, sort_keys=True).encode()


def _checksum(fields: dict[str, Any]) -> str:
    canonical = json.dumps(fields, sort_keys=True)
    return hashlib.sha256(canonical.encode()).hexdigest()


def _decode_entry(values: list[Any]) -> ChangeEntry:
    entry = ChangeEntry(*values)
    types = (int, str, str, int, str, list)
    if not all(
        type(v) is field_type for v, field_type in zip(entry, types, strict=True)
    ):
        raise TypeError("entry")
    return entry._replace(changed=tuple(str(name) for name in entry.changed))
