"""Changes of the configuration by compare-and-swap.

Order of writes of a change from version N to N + 1: the content of N is copied
to its history key, then the current value is swapped. A copy is only ever made
of an accepted version, so a change that is lost between the two writes leaves
nothing to clean up, and each accepted version but the newest is in the history.
"""

from __future__ import annotations

__all__ = ["ApplyResult", "ChangeClient", "ChangeConflict"]

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

# 20 attempts at up to 0.8 s settle a lost answer over an outage of about 10 s.
MAX_ATTEMPTS = 20
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.8


class ChangeConflict(JacinthpathError):
    """A change cannot be merged with what was accepted meanwhile.

    :param units: templates and accounts that both changed.
    :param since: versions accepted since the change's parent, newest first.
    """

    exit_code = 6

    def __init__(
        self, units: tuple[str, ...], since: tuple[ChangeEntry, ...], found: str
    ) -> None:
        newest = since[0].version if since else 0
        lines = [f"Nothing was written: {found}."]
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
    """What an apply did.

    :param status: ``applied``; ``merged`` with changes made meanwhile;
        ``already-applied`` by an earlier attempt; ``unchanged`` when the
        content was in force already.
    :param entry: the version that holds the change.
    :param newest: newest version when the command ended.
    """

    status: str
    entry: ChangeEntry
    newest: int


class ChangeClient:
    """Reads and changes the configuration.

    :param store: the platform's key-value service.
    :param clock: seconds since the epoch, for the time of a version.
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
        self._random = randomness or random.Random()

    async def read(self) -> ConfigurationValue:
        """Return the newest version; its version is 0 if there is none yet.

        :raises StoreUnavailable: the store cannot be reached.
        :raises DamagedValue: the value cannot be read.
        """
        return (await self._versions.read_current()).value

    async def read_version(self, version: int) -> ConfigurationValue:
        """Return one version with its content.

        :raises VersionUnknown: it does not exist or is no longer kept.
        """
        return await self._versions.read_version(version)

    async def read_history(self) -> tuple[ChangeEntry, ...]:
        """Return the metadata of the versions that are kept, newest first."""
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

        :param parent: version that the document was made from.
        :param change_id: identity of the change; derived when empty.
        :param replace_damaged: write over a value that cannot be read.
        :raises ConfigurationError: the document, or its merge, has a fault.
        :raises ChangeConflict: somebody else changed the same meanwhile.
        :raises StoreUnavailable: nothing was written.
        :raises StoreOutcomeUnknown: it could not be settled whether the change
            took effect; repeating it with the same identity settles it.
        """
        parse_configuration(content)
        author = author[:MAX_AUTHOR_CHARACTERS]
        change_id = change_id or derive_change_id(content, parent, author)
        attempt = _Attempt(content, author, parent, change_id, replace_damaged)
        for number in range(MAX_ATTEMPTS):
            try:
                return await self._try_apply(attempt)
            except VersionConflict as conflict:
                attempt.newest_seen = max(attempt.newest_seen, conflict.actual)
            except StoreOutcomeUnknown:
                attempt.uncertain = True
            except StoreUnavailable as error:
                if not attempt.uncertain:
                    raise StoreUnavailable(
                        f"Nothing was written. {error.message}", error.remedy
                    ) from error
            backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**number)
            await self._sleep(backoff_s * (0.5 + self._random.random() / 2))
        if attempt.uncertain:
            raise StoreOutcomeUnknown(
                f"It is not known whether change {change_id} took effect.",
                f"Run the same command again with --change-id {change_id} and "
                f"--parent {parent}; the change is applied once.",
            )
        raise StoreUnavailable(
            f"Nothing was written: other changes came first {MAX_ATTEMPTS} times.",
            "Run the command again.",
        )

    async def _try_apply(self, attempt: _Attempt) -> ApplyResult:
        current = await self._read_for(attempt)
        value = current.value
        # The kept versions do not show that the damaged one was replaced.
        done = value.find_change(attempt.change_id)
        if done is not None and not attempt.replacing:
            status = "applied" if attempt.uncertain else "already-applied"
            return ApplyResult(status, done, value.entry.version)
        content = await self._merge(attempt, value)
        in_force = value.entry.version > 0 and not attempt.replacing
        if content == value.content and in_force:
            return ApplyResult("unchanged", value.entry, value.entry.version)
        changed = changed_units(value.content, content)
        if len(changed) > MAX_UNITS_LISTED:
            rest = len(changed) - MAX_UNITS_LISTED
            changed = (*changed[:MAX_UNITS_LISTED], f"{rest} more")
        entry = ChangeEntry(
            value.entry.version + 1,
            attempt.change_id,
            attempt.author,
            attempt.parent,
            _format_time(self._clock()),
            changed,
        )
        # A recovered value stands for the damaged one, which has no entry.
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
        status = "applied" if content == attempt.content else "merged"
        return ApplyResult(status, entry, entry.version)

    async def _merge(self, attempt: _Attempt, value: ConfigurationValue) -> str:
        newest = value.entry.version
        if attempt.parent == newest:
            return attempt.content
        if attempt.parent > newest:
            attempt.reads_behind += 1
            if attempt.reads_behind < MAX_STALE_READS:
                # The store may have returned an older value; read again.
                raise VersionConflict(CONFIGURATION_KEY, newest, 0)
            raise VersionUnknown(
                f"The parent version {attempt.parent} does not exist; the newest "
                f"is {newest}.",
                "Check --parent and the store address.",
            )
        since = tuple(
            entry
            for entry in (value.entry, *value.history)
            if entry.version > attempt.parent
        )
        try:
            base = await self.read_version(attempt.parent)
        except VersionUnknown:
            found = f"the parent version {attempt.parent} is no longer kept"
            raise ChangeConflict((), since[:5], found) from None
        merge = merge_documents(base.content, value.content, attempt.content)
        if merge.conflicts:
            names = ", ".join(merge.conflicts)
            found = f"{names} changed since version {attempt.parent}"
            raise ChangeConflict(merge.conflicts, since, found)
        try:
            parse_configuration(merge.text, path="merged configuration")
        except ConfigurationError as error:
            found = f"the change does not fit the newest version\n{error}"
            raise ChangeConflict((), since, found) from error
        return merge.text

    async def _read_for(self, attempt: _Attempt) -> CurrentValue:
        try:
            current = await self._versions.read_current()
        except DamagedValue:
            if not attempt.replace_damaged:
                raise
            attempt.replacing = True
            return await self._versions.recover()
        attempt.replacing = False
        if current.store_version < attempt.newest_seen:
            # A replica that lags behind cannot show what others wrote.
            raise VersionConflict(
                CONFIGURATION_KEY, current.store_version, attempt.newest_seen
            )
        attempt.newest_seen = current.store_version
        return current


class _Attempt:
    """A change that is being applied, over all its attempts."""

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
        self.replacing = False
        self.uncertain = False
        self.newest_seen = 0
        self.reads_behind = 0


def _format_time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(int(seconds), datetime.UTC)
    return moment.isoformat().replace("+00:00", "Z")
