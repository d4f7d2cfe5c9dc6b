"""Changes of the configuration by compare-and-swap.

A change from version N to N + 1 first copies the content of N to its history
key and then replaces the current value. Only accepted versions are copied, so a
change that fails between the two writes leaves nothing to clean up, and each
accepted version but the newest is in the history.
"""

from __future__ import annotations

__all__ = ["ApplyResult", "ChangeConflict", "ConfigurationClient"]

import asyncio
import datetime
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from .change_history import (
    MAX_STALE_READS,
    CurrentValue,
    VersionStore,
    VersionUnknown,
)
from .change_values import (
    CONFIGURATION_KEY,
    HISTORY_LENGTH,
    MAX_AUTHOR_CHARACTERS,
    MAX_UNITS_LISTED,
    ChangeEntry,
    ConfigurationValue,
    DamagedValue,
    derive_change_id,
    encode_value,
)
from .configuration import parse_configuration
from .configuration_merge import changed_units, merge_documents
from .errors import (
    ConfigurationError,
    JacinthpathError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    VersionConflict,
)
from .store import KeyValueStore

# 20 attempts with up to 0.8 s of back-off resolve a lost response across an outage
# of about 10 s.
MAX_ATTEMPTS = 20
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.8


class ChangeConflict(JacinthpathError):
    """A change cannot be merged with the versions accepted after its parent.

    :param units: templates and accounts that both sides changed.
    :param since: versions accepted since the change's parent, newest first.
    """

    exit_code = 6

    def __init__(
        self, units: tuple[str, ...], since: tuple[ChangeEntry, ...], reason: str
    ) -> None:
        newest = since[0].version if since else 0
        lines = [f"Nothing was written: {reason}."]
        for entry in since:
            names = ", ".join(entry.changed) or "nothing"
            lines.append(f"  version {entry.version} by {entry.author} changed {names}")
        remedy = (
            f"Get version {newest} with `jacinthpath configuration get`, repeat the "
            f"change in it and apply it with --parent {newest}."
        )
        super().__init__("\n".join(lines), remedy)
        self.units = units
        self.since = since

    def __str__(self) -> str:
        return f"{self.message}\n{self.remedy}"


class ApplyResult(NamedTuple):
    """Result of applying a change.

    :param status: ``applied``; ``merged`` with changes made in the meantime;
        ``already-applied`` by an earlier attempt; ``unchanged`` if the content
        was in force already.
    :param entry: the version that contains the change.
    :param newest: newest version when the command completed.
    """

    status: str
    entry: ChangeEntry
    newest: int


class ConfigurationClient:
    """Reads and changes the configuration.

    :param store: the platform's key-value service.
    :param clock: seconds since the Unix epoch, for the timestamp of a version.
    :param sleep: waits between attempts.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        randomness: random.Random | None = None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._sleep = sleep
        self._versions = VersionStore(store, sleep)
        self._randomness = randomness or random.Random()

    async def read(self) -> ConfigurationValue:
        """Return the newest version, or version 0 if there is none yet.

        :raises StoreUnavailable: the store cannot be reached.
        :raises DamagedValue: the value cannot be decoded.
        """
        return (await self._versions.read_current()).value

    async def read_version(self, version: int) -> ConfigurationValue:
        """Return one version with its content.

        :raises VersionUnknown: it does not exist or is no longer kept.
        """
        return await self._versions.read_version(version)

    async def read_history(self) -> tuple[ChangeEntry, ...]:
        """Return the metadata of the kept versions, newest first."""
        return await self._versions.read_history()

    async def apply(
        self,
        content: str,
        author: str,
        parent: int,
        change_id: str = "",
        replace_damaged: bool = False,
    ) -> ApplyResult:
        """Apply a document once, however often it is attempted.

        :param parent: version that the document is based on.
        :param change_id: ID of the change; derived if empty.
        :param replace_damaged: overwrite a value that cannot be decoded.
        :raises ConfigurationError: the document is invalid.
        :raises ChangeConflict: the merge with the versions accepted since the
            parent conflicts or is invalid, or the parent is no longer kept.
        :raises VersionUnknown: the parent does not exist.
        :raises DamagedValue: the value cannot be decoded and ``replace_damaged``
            is not set.
        :raises StoreUnavailable: nothing was written.
        :raises StoreOutcomeUnknown: it could not be determined whether the
            change took effect; retrying with the same ID determines it.
        """
        parse_configuration(content)
        author = author[:MAX_AUTHOR_CHARACTERS]
        change_id = change_id or derive_change_id(content, parent, author)
        change = _PendingChange(content, author, parent, change_id, replace_damaged)
        for number in range(MAX_ATTEMPTS):
            try:
                return await self._try_apply(change)
            except VersionConflict as conflict:
                change.newest_store_version = max(
                    change.newest_store_version, conflict.actual
                )
            except StoreOutcomeUnknown:
                change.outcome_unknown = True
            except StoreUnavailable as error:
                if not change.outcome_unknown:
                    raise StoreUnavailable(
                        f"Nothing was written. {error.message}", error.remedy
                    ) from error
            backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**number)
            await self._sleep(backoff_s * (0.5 + self._randomness.random() / 2))
        if change.outcome_unknown:
            raise StoreOutcomeUnknown(
                f"It is not known whether change {change_id} took effect.",
                f"Run the same command again with --change-id {change_id} and "
                f"--parent {parent}; the change is applied once.",
            )
        raise StoreUnavailable(
            f"Nothing was written: all {MAX_ATTEMPTS} attempts lost to other changes.",
            "Run the command again.",
        )

    async def _try_apply(self, change: _PendingChange) -> ApplyResult:
        current = await self._read_current(change)
        value = current.value
        # The archive may contain this change from before the value was damaged, which
        # does not show that the damaged value was replaced.
        applied_entry = value.find_change(change.change_id)
        if applied_entry is not None and not change.current_is_damaged:
            status = "applied" if change.outcome_unknown else "already-applied"
            return ApplyResult(status, applied_entry, value.entry.version)
        content = await self._merge(change, value)
        in_force = value.entry.version > 0 and not change.current_is_damaged
        if content == value.content and in_force:
            return ApplyResult("unchanged", value.entry, value.entry.version)
        changed = changed_units(value.content, content)
        if len(changed) > MAX_UNITS_LISTED:
            rest = len(changed) - MAX_UNITS_LISTED
            changed = (*changed[:MAX_UNITS_LISTED], f"{rest} more")
        entry = ChangeEntry(
            value.entry.version + 1,
            change.change_id,
            change.author,
            change.parent,
            _format_time(self._clock()),
            changed,
        )
        # The entry of a recovered value was made up for the damaged version, so it
        # is not added to the history.
        newest = (value.entry,) if in_force else ()
        earlier = (*newest, *value.history)
        data = encode_value(
            ConfigurationValue(entry, content, earlier[: HISTORY_LENGTH - 1])
        )
        if in_force:
            await self._versions.archive(value)
        await self._store.compare_and_swap(
            CONFIGURATION_KEY, current.store_version, data
        )
        status = "applied" if content == change.content else "merged"
        return ApplyResult(status, entry, entry.version)

    async def _merge(self, change: _PendingChange, value: ConfigurationValue) -> str:
        newest = value.entry.version
        if change.parent == newest:
            return change.content
        if change.parent > newest:
            change.stale_reads += 1
            if change.stale_reads < MAX_STALE_READS:
                # The read may have been stale; read again.
                raise VersionConflict(CONFIGURATION_KEY, newest, 0)
            raise VersionUnknown(
                f"The parent version {change.parent} does not exist; the newest "
                f"is {newest}.",
                "Check --parent and the store address.",
            )
        since = tuple(
            entry
            for entry in (value.entry, *value.history)
            if entry.version > change.parent
        )
        try:
            base = await self.read_version(change.parent)
        except VersionUnknown:
            reason = f"the parent version {change.parent} is no longer kept"
            raise ChangeConflict((), since[:5], reason) from None
        merge = merge_documents(base.content, value.content, change.content)
        if merge.conflicts:
            names = ", ".join(merge.conflicts)
            reason = f"{names} changed since version {change.parent}"
            raise ChangeConflict(merge.conflicts, since, reason)
        try:
            parse_configuration(merge.text, path="merged configuration")
        except ConfigurationError as error:
            reason = f"the merge with the newest version is invalid\n{error}"
            raise ChangeConflict((), since, reason) from error
        return merge.text

    async def _read_current(self, change: _PendingChange) -> CurrentValue:
        try:
            current = await self._versions.read_current()
        except DamagedValue:
            if not change.replace_damaged:
                raise
            change.current_is_damaged = True
            return await self._versions.recover()
        change.current_is_damaged = False
        if current.store_version < change.newest_store_version:
            # A lagging replica does not show the writes of others.
            raise VersionConflict(
                CONFIGURATION_KEY, current.store_version, change.newest_store_version
            )
        change.newest_store_version = current.store_version
        return current


class _PendingChange:
    """State of a change across all attempts to apply it."""

    def __init__(
        self,
        content: str,
        author: str,
        parent: int,
        change_id: str,
        replace_damaged: bool,
    ) -> None:
        self.content = content
        self.author = author
        self.parent = parent
        self.change_id = change_id
        self.replace_damaged = replace_damaged
        self.current_is_damaged = False
        self.outcome_unknown = False
        self.newest_store_version = 0
        self.stale_reads = 0


def _format_time(seconds: float) -> str:
    time_utc = datetime.datetime.fromtimestamp(int(seconds), datetime.UTC)
    return time_utc.isoformat().replace("+00:00", "Z")
