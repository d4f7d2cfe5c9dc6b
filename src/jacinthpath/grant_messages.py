"""Encodes grants and their answers as JSON documents, and validates them."""

from __future__ import annotations

__all__ = ["decode_answer", "decode_grant", "encode_answer", "encode_grant"]

from collections.abc import Mapping
from typing import Any

from .errors import FrameError
from .grants import MAX_TERM_MS, Grant, GrantAnswer
from .slices import MAX_HOT_KEYS, MAX_SLICES

_MAX_STRING_LENGTH = 200
_MAX_INTEGER = 2**64 - 1
_UNCHANGED = "unchanged"


def encode_grant(grant: Grant) -> dict[str, Any]:
    """Return the JSON document of a grant.

    Key hashes are encoded as hexadecimal strings, since many JSON parsers keep only
    53 bits of an integer.
    """
    document = grant._asdict()
    document["slices"] = _UNCHANGED if grant.slices is None else list(grant.slices)
    document["hot_keys"] = _encode_hot_keys(grant.hot_keys)
    return document


def decode_grant(document: Any) -> Grant:
    """Return the grant that a JSON document encodes.

    :raises FrameError: the document is not a grant, or a field is out of bounds.
    """
    reader = _DocumentReader(document, "grant")
    slice_count = reader.integer("slice_count", MAX_SLICES)
    if slice_count == 0:
        raise reader.field_error("slice_count")
    unchanged = reader.fields.get("slices") == _UNCHANGED
    return Grant(
        service=reader.string("service"),
        epoch=reader.integer("epoch"),
        sequence=reader.integer("sequence"),
        incarnation=reader.string("incarnation"),
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
    """Return the answer that a JSON document encodes.

    :raises FrameError: the document is not an answer, or a field is out of bounds.
    """
    reader = _DocumentReader(document, "answer to a grant")
    no_slices = reader.fields.get("held") is None
    return GrantAnswer(
        stamp_ms=reader.integer("stamp_ms"),
        incarnation=reader.string("incarnation"),
        epoch=reader.integer("epoch"),
        sequence=reader.integer("sequence"),
        held_epoch=reader.integer("held_epoch"),
        held_sequence=reader.integer("held_sequence"),
        digest=reader.string("digest"),
        held=None if no_slices else reader.slices("held", MAX_SLICES),
        held_hot_keys=reader.hot_keys("held_hot_keys"),
        term_left_ms=reader.integer("term_left_ms"),
        accepted=reader.boolean("accepted"),
        reason=reader.string("reason"),
    )


def _encode_hot_keys(hot_keys: Mapping[int, bool]) -> dict[str, bool]:
    return {f"{key:016x}": owned for key, owned in sorted(hot_keys.items())}


class _DocumentReader:
    def __init__(self, document: Any, kind: str) -> None:
        self.kind = kind
        if not isinstance(document, dict):
            raise self.field_error("document")
        self.fields = document

    def field_error(self, name: str) -> FrameError:
        return FrameError(
            f"Field {name!r} of the {self.kind} is missing or out of bounds.",
            "Check the sender's software version.",
        )

    def integer(self, name: str, maximum: int = _MAX_INTEGER) -> int:
        value = self.fields.get(name)
        if type(value) is not int or not 0 <= value <= maximum:
            raise self.field_error(name)
        return value

    def string(self, name: str) -> str:
        value = self.fields.get(name)
        if not isinstance(value, str) or len(value) > _MAX_STRING_LENGTH:
            raise self.field_error(name)
        return value

    def boolean(self, name: str) -> bool:
        value = self.fields.get(name)
        if not isinstance(value, bool):
            raise self.field_error(name)
        return value

    def slices(self, name: str, slice_count: int) -> tuple[int, ...]:
        values = self.fields.get(name)
        if not isinstance(values, list) or len(values) > slice_count:
            raise self.field_error(name)
        for value in values:
            if type(value) is not int or not 0 <= value < slice_count:
                raise self.field_error(name)
        return tuple(values)

    def hot_keys(self, name: str) -> dict[int, bool]:
        values = self.fields.get(name)
        if not isinstance(values, dict) or len(values) > MAX_HOT_KEYS:
            raise self.field_error(name)
        decoded = {}
        for key, owned in values.items():
            if len(key) != 16 or not isinstance(owned, bool):
                raise self.field_error(name)
            try:
                decoded[int(key, 16)] = owned
            except ValueError:
                raise self.field_error(name) from None
        return decoded
