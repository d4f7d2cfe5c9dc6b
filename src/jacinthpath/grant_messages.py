"""Grants and their answers as JSON documents, checked and bounded."""

from __future__ import annotations

__all__ = ["decode_answer", "decode_grant", "encode_answer", "encode_grant"]

from collections.abc import Mapping
from typing import Any

from .errors import FrameError
from .grants import MAX_TERM_MS, Grant, GrantAnswer
from .slices import MAX_HOT_KEYS, MAX_SLICES

_MAX_NAME_CHARACTERS = 200
_MAX_INTEGER = 2**64 - 1
_UNCHANGED = "unchanged"


def encode_grant(grant: Grant) -> dict[str, Any]:
    """Return the JSON document of a grant.

    Key hashes are hexadecimal strings, since many JSON readers keep only 53 bits
    of an integer.
    """
    document = grant._asdict()
    document["slices"] = _UNCHANGED if grant.slices is None else list(grant.slices)
    document["hot_keys"] = _encode_hot_keys(grant.hot_keys)
    return document


def decode_grant(document: Any) -> Grant:
    """Return the grant in a JSON document.

    :raises FrameError: the document is no grant, or is out of bounds.
    """
    reader = _Reader(document, "grant")
    slice_count = reader.integer("slice_count", MAX_SLICES)
    if slice_count == 0:
        raise reader.fault("slice_count")
    unchanged = reader.fields.get("slices") == _UNCHANGED
    return Grant(
        service=reader.text("service"),
        epoch=reader.integer("epoch"),
        sequence=reader.integer("sequence"),
        incarnation=reader.text("incarnation"),
        echoed_stamp_ms=reader.integer("echoed_stamp_ms"),
        term_ms=reader.integer("term_ms", MAX_TERM_MS),
        slices=None if unchanged else reader.slices("slices", slice_count),
        hot_keys=reader.hot_keys("hot_keys"),
        slice_count=slice_count,
    )


def encode_answer(answer: GrantAnswer) -> dict[str, Any]:
    """Return the JSON document of an answer to a grant."""
    document = answer._asdict()
    document["held"] = None if answer.held is None else list(answer.held)
    document["held_hot_keys"] = _encode_hot_keys(answer.held_hot_keys)
    return document


def decode_answer(document: Any) -> GrantAnswer:
    """Return the answer in a JSON document.

    :raises FrameError: the document is no answer, or is out of bounds.
    """
    reader = _Reader(document, "answer to a grant")
    absent = reader.fields.get("held") is None
    return GrantAnswer(
        stamp_ms=reader.integer("stamp_ms"),
        incarnation=reader.text("incarnation"),
        epoch=reader.integer("epoch"),
        sequence=reader.integer("sequence"),
        held_epoch=reader.integer("held_epoch"),
        held_sequence=reader.integer("held_sequence"),
        digest=reader.text("digest"),
        held=None if absent else reader.slices("held", MAX_SLICES),
        held_hot_keys=reader.hot_keys("held_hot_keys"),
        term_left_ms=reader.integer("term_left_ms"),
        accepted=reader.flag("accepted"),
        reason=reader.text("reason"),
    )


def _encode_hot_keys(hot_keys: Mapping[int, bool]) -> dict[str, bool]:
    return {f"{key:016x}": owned for key, owned in sorted(hot_keys.items())}


class _Reader:
    def __init__(self, document: Any, kind: str) -> None:
        self.kind = kind
        if not isinstance(document, dict):
            raise self.fault("document")
        self.fields = document

    def fault(self, name: str) -> FrameError:
        return FrameError(
            f"The field {name!r} of a {self.kind} is missing or out of bounds.",
            "Check the sender's release.",
        )

    def integer(self, name: str, maximum: int = _MAX_INTEGER) -> int:
        value = self.fields.get(name)
        if type(value) is not int or not 0 <= value <= maximum:
            raise self.fault(name)
        return value

    def text(self, name: str) -> str:
        value = self.fields.get(name)
        if not isinstance(value, str) or len(value) > _MAX_NAME_CHARACTERS:
            raise self.fault(name)
        return value

    def flag(self, name: str) -> bool:
        value = self.fields.get(name)
        if not isinstance(value, bool):
            raise self.fault(name)
        return value

    def slices(self, name: str, slice_count: int) -> tuple[int, ...]:
        values = self.fields.get(name)
        if not isinstance(values, list) or len(values) > slice_count:
            raise self.fault(name)
        for value in values:
            if type(value) is not int or not 0 <= value < slice_count:
                raise self.fault(name)
        return tuple(values)

    def hot_keys(self, name: str) -> dict[int, bool]:
        values = self.fields.get(name)
        if not isinstance(values, dict) or len(values) > MAX_HOT_KEYS:
            raise self.fault(name)
        decoded = {}
        for key, owned in values.items():
            if len(key) != 16 or not isinstance(owned, bool):
                raise self.fault(name)
            try:
                decoded[int(key, 16)] = owned
            except ValueError:
                raise self.fault(name) from None
        return decoded
