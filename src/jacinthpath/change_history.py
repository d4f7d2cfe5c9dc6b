"""Versions of the configuration in the store: the newest and the history."""

from __future__ import annotations

__all__ = [
    "MAX_STALE_READS",
    "NO_VERSION",
    "CurrentValue",
    "VersionStore",
    "VersionUnknown",
]

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from .change_values import (
    CONFIGURATION_KEY,
    HISTORY_LENGTH,
    ChangeEntry,
    ConfigurationValue,
    DamagedValue,
    decode_value,
    encode_value,
    history_key,
)
from .errors import (
    JacinthpathError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    VersionConflict,
)
from .store import KeyValueStore, StoredValue

RETRY_DELAY_S = 0.02
MAX_WRITE_ATTEMPTS = 20

# Reads after which a version that is not found is reported as unknown: a lagging
# replica can miss a version that was already reported to an operator.
MAX_STALE_READS = 6
NO_VERSION = ConfigurationValue(ChangeEntry(0, "", "", 0, ""), "")


class VersionUnknown(JacinthpathError):
    """A version does not exist or is no longer in the history."""

    exit_code = 8


class CurrentValue(NamedTuple):
    """The newest version and the version that the store gave its key."""

    store_version: int
    value: ConfigurationValue


class VersionStore:
    """Reads versions and archives replaced ones.

    :param sleep: waits between attempts.
    """

    def __init__(
        self, store: KeyValueStore, sleep: Callable[[float], Awaitable[None]]
    ) -> None:
        self._store = store
        self._sleep = sleep

    async def read_current(self) -> CurrentValue:
        """Return the newest version, or version 0 if there is none."""
        stored = await self._store.get(CONFIGURATION_KEY)
        if stored is None:
            return CurrentValue(0, NO_VERSION)
        return CurrentValue(
            stored.version, decode_value(CONFIGURATION_KEY, stored.data)
        )

    async def read_history(self) -> tuple[ChangeEntry, ...]:
        """Return the metadata of the kept versions, newest first.

        While the current value is damaged, only older versions are returned.
        """
        value = await self._read_or_recover()
        return tuple(entry for entry in (value.entry, *value.history) if entry.version)

    async def read_version(self, version: int) -> ConfigurationValue:
        """Return one version with its content.

        :raises VersionUnknown: it does not exist or is no longer kept.
        """
        if version == 0:
            return NO_VERSION
        newest = 0
        for _ in range(MAX_STALE_READS):
            current = await self._read_or_recover()
            if current.entry.version == version:
                return current
            # Read after the current value: the versions that it replaced have been
            # archived by then.
            archived = await self._read_archived(version)
            found = archived.entry.version if archived else 0
            if found == version:
                return archived
            newest = max(newest, current.entry.version)
            if version > newest or found > version:
                break
            await self._sleep(RETRY_DELAY_S)
        raise VersionUnknown(
            f"Version {version} is not kept; the newest is {newest}.",
            "Choose a version from `jacinthpath configuration history`.",
        )

    async def _read_or_recover(self) -> ConfigurationValue:
        try:
            return (await self.read_current()).value
        except DamagedValue:
            # Drop the entry that only stands in for the damaged version.
            recovered = (await self.recover()).value
            if not recovered.history:
                return NO_VERSION
            newest, *rest = recovered.history
            return recovered._replace(entry=newest, history=tuple(rest))

    async def recover(self) -> CurrentValue:
        """Return the newest archived version under the number of the damaged one."""
        stored = await self._store.get(CONFIGURATION_KEY)
        archived = [await self._read_archived(slot) for slot in range(HISTORY_LENGTH)]
        values = sorted(
            (value for value in archived if value is not None),
            key=lambda value: value.entry.version,
            reverse=True,
        )
        newest = values[0] if values else NO_VERSION
        # Hosts may have the damaged version, so the next one must be above it.
        entry = newest.entry._replace(version=newest.entry.version + 1)
        history = tuple(value.entry for value in values)
        return CurrentValue(
            stored.version if stored else 0,
            ConfigurationValue(entry, newest.content, history),
        )

    async def _read_archived(self, version: int) -> ConfigurationValue | None:
        key = history_key(version)
        stored = await self._store.get(key)
        return _decode_or_none(key, stored)

    async def archive(self, value: ConfigurationValue) -> None:
        """Store the content of an accepted version in the history."""
        key = history_key(value.entry.version)
        data = encode_value(value._replace(history=()))
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._store.get(key)
            if _archived_version(key, stored) >= value.entry.version:
                return
            try:
                expected_version = stored.version if stored else 0
                await self._store.compare_and_swap(key, expected_version, data)
                return
            except (VersionConflict, StoreOutcomeUnknown):
                # All writers write the same bytes for a version; check by reading.
                await self._sleep(RETRY_DELAY_S)
        raise StoreUnavailable(
            f"Version {value.entry.version} could not be archived in the history.",
            "Run the command again.",
        )


def _decode_or_none(key: str, stored: StoredValue | None) -> ConfigurationValue | None:
    if stored is None:
        return None
    try:
        return decode_value(key, stored.data)
    except DamagedValue:
        return None


def _archived_version(key: str, stored: StoredValue | None) -> int:
    value = _decode_or_none(key, stored)
    return value.entry.version if value is not None else 0
