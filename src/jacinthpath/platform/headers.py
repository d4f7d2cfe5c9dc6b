"""HTTP header fields that the platform defines."""

from __future__ import annotations

__all__ = [
    "ATTEMPT_ID",
    "DEADLINE_MS",
    "EXPECTED_SERVER",
    "HANDOVER",
    "NOT_EXECUTED",
    "RETRY_AFTER",
    "SERVER_ID",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_LOAD",
    "SHARD_KEY",
    "SIGNATURE",
    "STORE_ERA",
    "WARMUP_MS",
]

from multidict import istr

ATTEMPT_ID = istr("X-Attempt-Id")
"""Id of one request of a caller. Retries by the gateway keep it; a retry by the caller
has another one."""

DEADLINE_MS = istr("X-Request-Deadline-Ms")
"""Remaining time in milliseconds, not a point in time."""

EXPECTED_SERVER = istr("X-Expected-Instance")
HANDOVER = istr("X-Handover")
SHARD_KEY = istr("X-Shard-Key")
NOT_EXECUTED = istr("X-Not-Executed")
RETRY_AFTER = istr("Retry-After")
SERVER_ID = istr("X-Instance-Id")
SERVER_LEAVING = istr("Server-Leaving")
"""With the value ``1`` in all responses of a server that leaves."""

SERVER_LIMIT = istr("Server-Limit")
"""Requests a second that a server takes from all hosts together, a decimal number; in
its responses for as long as the limit holds."""

SERVER_LOAD = istr("X-Server-Load")
"""How busy a server is: ``running,waiting,slots`` and perhaps ``slowness``, integers;
a slowness of 100 is normal."""

STORE_ERA = istr("Store-Era")
"""How often the store came back from an older copy; in all of its responses."""

SIGNATURE = istr("X-Server-Signature")

WARMUP_MS = istr("X-Warmup-Ms")
"""Milliseconds for which a server stays cold."""
