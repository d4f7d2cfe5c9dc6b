"""HTTP header fields used between callers, the router and endpoints."""

from __future__ import annotations

__all__ = [
    "ACCOUNT",
    "DEADLINE_MS",
    "EPOCH",
    "ERROR",
    "HOP_BY_HOP",
    "IDEMPOTENCY_KEY",
    "KEY",
    "NOT_RUN",
    "OUTCOME",
    "SERVER",
    "TRACEPARENT",
    "forwarded_fields",
]

from collections.abc import Collection
from typing import Any

from multidict import CIMultiDict, istr

ACCOUNT = istr("jacinthpath-account")
DEADLINE_MS = istr("jacinthpath-deadline-ms")
EPOCH = istr("jacinthpath-epoch")
ERROR = istr("jacinthpath-error")
IDEMPOTENCY_KEY = istr("idempotency-key")
KEY = istr("jacinthpath-key")
NOT_RUN = istr("jacinthpath-not-run")
OUTCOME = istr("jacinthpath-outcome")
SERVER = istr("jacinthpath-server")
TRACEPARENT = istr("traceparent")

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Fields that apply to a single connection and are not forwarded."""


def forwarded_fields(headers: Any, dropped: Collection[str]) -> CIMultiDict[str]:
    """Return the header fields that are forwarded to the next hop.

    Fields that the sender names in ``Connection`` apply to that connection only and
    are left out as well.

    :param dropped: names to leave out, in lower case.
    """
    connection_fields = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    excluded = {*dropped, *connection_fields}
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in excluded
    )
