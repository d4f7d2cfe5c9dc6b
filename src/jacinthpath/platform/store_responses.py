"""Reads the responses of the platform's store; what is malformed is its error."""

from __future__ import annotations

__all__ = [
    "MAX_ENTRY_BYTES",
    "MAX_VALUE_BYTES",
    "ResponseTooLong",
    "StoreResponse",
    "check_response",
    "history_lost_error",
    "lease_ended_error",
    "read_content",
    "reading",
    "unavailable_error",
    "unknown_outcome_error",
]

import base64
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple, TypeVar

import aiohttp

from ..errors import StoreError, StoreOutcomeUnknown, StoreUnavailable
from ..gateway.revisions import MAX_STORE_REVISION, make_revision
from ..gateway.store import Change, HistoryLost, Item, LeaseEnded
from ..json_documents import UNREADABLE, check_integer, describe, parse_json
from ..logs import get_logger
from .long_strings import LongStringDropper
from .values import MalformedValue

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""A page holds about 1 MB, and a single value 1 MB before its encoding."""

LARGE_RESPONSE_BYTES = 512 * 1024
"""Values are dropped only from responses that are larger."""

MAX_VALUE_BYTES = 1024 * 1024
"""Longest value of the store (according to the platform's documentation)."""

MAX_ENTRY_BYTES = 64 * 1024
"""Longest entry of a server that is read; they have some hundred bytes."""

Decoded = TypeVar("Decoded")

_log = get_logger()


class ResponseTooLong(StoreUnavailable):
    """A response is longer than a host may hold."""


class StoreResponse(NamedTuple):
    """A response of the store.

    :param era: era that its revisions and leases belong to.
    """

    status: int
    body: dict[str, Any]
    era: int

    def revision(self, field: str) -> int:
        """Return a revision in the body, with the era."""
        return _make_revision(self.era, self.body[field])

    def item(self) -> Item:
        """Return the item that the body is."""
        return _decode_item(self.body, self.era)

    def items(self) -> list[Item]:
        """Return the items in the body that can be read; a missing one has no value."""
        present = [item for item in self.body["items"] if "value" in item]
        return _decode_each(_decode_item, present, self.era)

    def last_key(self) -> str | None:
        """Return the key after which the next page begins."""
        keys = [item.get("key") for item in self.body["items"]]
        return next((key for key in reversed(keys) if isinstance(key, str)), None)

    def changes(self) -> list[Change]:
        """Return the events in the body that can be read."""
        return _decode_each(_decode_change, self.body["events"], self.era)


async def read_content(
    response: aiohttp.ClientResponse, name: str, max_value_bytes: int
) -> bytes:
    """Return the body of a response to the call ``name``.

    :param max_value_bytes: longest value to keep; of a large response, longer ones are
        dropped.
    :raises ResponseTooLong: what is kept is longer than a host may hold.
    """
    content = bytearray()
    dropper: LongStringDropper | None = None
    async for part in response.content.iter_any():
        content += part if dropper is None else dropper.feed(part)
        if dropper is None and len(content) > LARGE_RESPONSE_BYTES:
            dropper = LongStringDropper(max_value_bytes * 4 // 3 + 4)
            content = bytearray(dropper.feed(bytes(content)))
        if len(content) > MAX_RESPONSE_BYTES:
            raise ResponseTooLong(
                f"{name}: the response has over {MAX_RESPONSE_BYTES} bytes.",
                "Look for large values under the prefix that is read.",
            )
    return bytes(content)


def check_response(
    method: str, name: str, status: int, content: bytes, era: int
) -> StoreResponse:
    """Return a response whose status and body are those of a call that was done.

    :param name: name of the call.
    :param era: era of the response.
    :raises StoreUnavailable: nothing was done.
    :raises StoreOutcomeUnknown: a write may have been done.
    :raises StoreError: the store does not accept the call.
    """
    if status in (429, 503):
        raise unavailable_error(name, f"status {status}")
    if status >= 500:
        raise unknown_outcome_error(method, name, f"status {status}")
    if status in (400, 403):
        raise StoreError(
            f"{name}: status {status}: {content[:200]!r}.", "Report this error."
        )
    try:
        body = parse_json(content) if content else {}
    except ValueError as error:
        raise unknown_outcome_error(method, name, error) from error
    if not isinstance(body, dict):
        raise unknown_outcome_error(method, name, "the body is no object")
    return StoreResponse(status, body, era)


@contextmanager
def reading(method: str, name: str) -> Iterator[None]:
    """Turn an error in reading a response into one of the store.

    :raises StoreUnavailable: nothing was done by the call, which reads only.
    :raises StoreOutcomeUnknown: a write may have been done.
    """
    try:
        yield
    except (*UNREADABLE, MalformedValue) as error:
        raise unknown_outcome_error(method, name, describe(error)) from error


def unavailable_error(name: str, cause: object) -> StoreUnavailable:
    """Return the error of a call that was not done."""
    return StoreUnavailable(
        f"{name}: the store did not execute the call: {cause}.",
        "Check the platform's store.",
    )


def lease_ended_error() -> LeaseEnded:
    """Return the error of a call with a lease that has ended."""
    return LeaseEnded("The lease has ended.", "Create another one.")


def history_lost_error(after: int) -> HistoryLost:
    """Return the error of a watch that cannot continue after a revision."""
    return HistoryLost(
        f"The store no longer has the history after revision {after}.",
        "List the keys again.",
    )


def unknown_outcome_error(method: str, name: str, cause: object) -> StoreError:
    """Return the error of a call without a response that can be read."""
    if method == "GET":
        return unavailable_error(name, cause)
    return StoreOutcomeUnknown(
        f"{name}: the outcome of the call is unknown: {cause!r}.",
        "Read the value back to see whether it was written.",
    )


def _decode_item(item: dict[str, Any], era: int) -> Item:
    value = _decode_value(item.get("value") or "")
    revision = _make_revision(era, item["revision"])
    return Item(_check_key(item["key"]), value, revision)


def _decode_change(event: dict[str, Any], era: int) -> Change:
    value = None if event.get("removed") else _decode_value(event["value"])
    revision = _make_revision(era, event["revision"])
    return Change(_check_key(event["key"]), value, revision)


def _decode_value(value: Any) -> bytes:
    return base64.b64decode(value, validate=True)


def _check_key(key: Any) -> str:
    if not isinstance(key, str):
        raise TypeError("a key is not a string")
    return key


def _make_revision(era: int, store_revision: Any) -> int:
    return make_revision(era, check_integer(store_revision, 0, MAX_STORE_REVISION))


def _decode_each(
    decode: Callable[[Any, int], Decoded], rows: list[Any], era: int
) -> list[Decoded]:
    """Return the rows that can be read; one that cannot costs no other."""
    decoded = []
    for row in rows:
        try:
            decoded.append(decode(row, era))
        except UNREADABLE as error:
            _log.warning("store_item_refused", error=describe(error))
    return decoded
