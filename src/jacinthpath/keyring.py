"""Cluster keys, read from files and reloaded when the files change."""

from __future__ import annotations

__all__ = ["ClusterKey", "KeyRing", "KeySource", "SharedKey"]

import hashlib
import hmac
from pathlib import Path
from typing import NamedTuple, Protocol

from .errors import AuthenticationError

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 4_096


class ClusterKey(NamedTuple):
    """One key and an identifier that does not reveal it."""

    key_id: bytes
    secret: bytes

    def sign(self, purpose: str, *parts: bytes) -> bytes:
        """Return the HMAC-SHA-256 of a purpose and length-prefixed parts."""
        digest = hmac.new(self.secret, purpose.encode(), hashlib.sha256)
        for part in parts:
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return digest.digest()


class KeySource(Protocol):
    """Source of the keys of peer connections."""

    def active(self) -> ClusterKey:
        """Return the key to connect with."""

    def find(self, key_id: bytes) -> ClusterKey | None:
        """Return the accepted key with the given identifier, if any."""


class SharedKey:
    """One key that is set while the process runs, such as the one in the store."""

    def __init__(self) -> None:
        self._key: ClusterKey | None = None

    def set_secret(self, secret: bytes) -> None:
        """Use ``secret`` from now on."""
        self._key = _make_cluster_key(secret)

    def active(self) -> ClusterKey:
        """Return the key to connect with.

        :raises AuthenticationError: no key has been set yet.
        """
        if self._key is None:
            raise AuthenticationError(
                "The cluster key is not known yet.", "It is read from the store."
            )
        return self._key

    def find(self, key_id: bytes) -> ClusterKey | None:
        """Return the accepted key with the given identifier, if any."""
        if self._key is not None and self._key.key_id == key_id:
            return self._key
        return None


class KeyRing:
    """The cluster keys that a process accepts.

    :param paths: key files; the first one is used to connect.
    :raises AuthenticationError: a file is missing or its key is too short.
    """

    def __init__(self, paths: tuple[str, ...]) -> None:
        self._paths = tuple(Path(path) for path in paths)
        self._modified_ns: tuple[int, ...] = ()
        self._keys: dict[bytes, ClusterKey] = {}
        self._load()

    def active(self) -> ClusterKey:
        """Return the key to connect with."""
        self._reload_if_changed()
        return next(iter(self._keys.values()))

    def find(self, key_id: bytes) -> ClusterKey | None:
        """Return the accepted key with the given identifier, if any."""
        self._reload_if_changed()
        return self._keys.get(key_id)

    def _reload_if_changed(self) -> None:
        try:
            modified_ns = tuple(path.stat().st_mtime_ns for path in self._paths)
            if modified_ns != self._modified_ns:
                self._load()
        except (OSError, AuthenticationError):
            # While a file is being replaced, the keys read before stay in use.
            return

    def _load(self) -> None:
        keys = {}
        modified_ns = []
        for path in self._paths:
            try:
                modified_ns.append(path.stat().st_mtime_ns)
                secret = path.read_bytes().strip()
            except OSError as error:
                raise AuthenticationError(
                    f"The cluster key file {path} cannot be read: {error.strerror}.",
                    "Check security.cluster_key_files.",
                ) from error
            if not MIN_KEY_BYTES <= len(secret) <= MAX_KEY_BYTES:
                raise AuthenticationError(
                    f"The cluster key in {path} has {len(secret)} bytes.",
                    f"Write {MIN_KEY_BYTES} to {MAX_KEY_BYTES} random bytes.",
                )
            key = _make_cluster_key(secret)
            keys[key.key_id] = key
        self._keys = keys
        self._modified_ns = tuple(modified_ns)


def _make_cluster_key(secret: bytes) -> ClusterKey:
    key_id = hashlib.sha256(b"jacinthpath key id" + secret).digest()[:8]
    return ClusterKey(key_id, secret)
