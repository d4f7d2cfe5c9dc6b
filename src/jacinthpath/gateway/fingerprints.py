"""Recognizes a request that comes again."""

from __future__ import annotations

__all__ = ["fingerprint_of"]

import xxhash

from .exchange import CallerRequest

SEPARATOR = b"\0"


def fingerprint_of(request: CallerRequest) -> int:
    """Return a 64-bit digest of what a request has in common with its repetitions.

    These are the method, the host, the path, the body and whom the request is for: its
    key, or without one the caller's address. The same request may come from another
    address, since callers in every data centre may act for one key. The query and the
    request's id are left out; a caller sets the id anew for each retry.
    """
    subject = request.caller if request.key is None else str(request.key)
    digest = xxhash.xxh3_64()
    for part in (subject, request.method, request.host, request.path):
        digest.update(part.encode(errors="surrogateescape") + SEPARATOR)
    digest.update(request.body)
    return digest.intdigest()
