"""Header fields on the platform's wire."""

from __future__ import annotations

__all__ = [
    "ATTEMPT_ID",
    "DEADLINE_MS",
    "EXPECTED_SERVER",
    "HANDOVER",
    "KEY",
    "NOT_RUN",
    "SERVER",
    "SIGNATURE",
]

from multidict import istr

ATTEMPT_ID = istr("X-Attempt-Id")
"""Identity of one request of a caller; a caller's retry has another."""

DEADLINE_MS = istr("X-Request-Deadline-Ms")
"""Milliseconds that are left, not a point in time."""

EXPECTED_SERVER = istr("X-Expected-Instance")
HANDOVER = istr("X-Handover")
KEY = istr("X-Shard-Key")
NOT_RUN = istr("X-Not-Executed")
SERVER = istr("X-Instance-Id")
SIGNATURE = istr("X-Server-Signature")
