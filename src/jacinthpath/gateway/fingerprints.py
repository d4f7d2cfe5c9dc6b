"""Recognizes a request that comes again."""

from __future__ import annotations

__all__ = ["fingerprint_of"]

import xxhash

from .exchange import CallerRequest

SEPARATOR = b"\0"


def fingerprint_of(request: CallerRequest) -> int:
    """Return a 64-bit digest of what a request has in common with its repetitions.

    These are the caller, the method, the host, the path and the body, but not the
    query nor the request's id, which a caller sets anew for each of its retries.
    """
    digest = xxhash.xxh3_64()
    for part in (request.caller, request.method, request.host, request.path):
        digest.update(part.encode(errors="surrogateescape") + SEPARATOR)
    digest.update(request.body)
    return digest.intdigest()
