"""Applies the entries of servers that are known before the list of all is complete."""

from __future__ import annotations

__all__ = ["EarlyServers"]

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from ..errors import StoreError
from .clock import boottime_s
from .cluster_view import ClusterView
from .loops import LoopSupervisor
from .revisions import era_of_revision
from .store import Change, Listing, Store

START_DELAY_S = 0.3
"""A list that is complete by then makes no additional call."""

HEARTBEATS = 2
"""Each live server writes its entry again within the time of this many heartbeats."""

WATCH_TIMEOUT_S = 0.8


class EarlyServers:
    """Adds servers while a list of many pages is being read.

    Large entries of other writers take a page each, and may come before all others.
    Live servers write their entries again with each heartbeat, so a watch from the
    first page on finds them at once. It removes none: that takes the whole list.

    :param apply: applies a change of a server.
    :param interval_s: pause between two watches.
    :param heartbeat_s: interval at which a server writes its entry.
    """

    def __init__(
        self,
        store: Store,
        view: ClusterView,
        loops: LoopSupervisor,
        apply: Callable[[Change], None],
        interval_s: float,
        heartbeat_s: float,
    ) -> None:
        self._store = store
        self._view = view
        self._loops = loops
        self._apply = apply
        self._interval_s = interval_s
        self._heartbeats_s = HEARTBEATS * heartbeat_s

    @contextmanager
    def applied(self, prefix: str) -> Iterator[Callable[[Listing], None]]:
        """Apply what is known until the context ends.

        :return: handler of the pages that are not the last one.
        """
        watches: list[asyncio.Task[None]] = []

        def handle_page(page: Listing) -> None:
            if self._is_restored(page):
                return
            for item in page.items:
                self._apply(Change(*item))
            if not watches:
                watch = self._watch(prefix, page.revision)
                watches.append(self._loops.start_task("watch-early-servers", watch))

        try:
            yield handle_page
        finally:
            for watch in watches:
                watch.cancel()

    def _is_restored(self, page: Listing) -> bool:
        """Return whether the list is the first one of a restored store.

        Its entries may be outdated; the whole list tells which.
        """
        known = self._view.directory.revision
        return known > 0 and era_of_revision(page.revision) != era_of_revision(known)

    async def _watch(self, prefix: str, revision: int) -> None:
        """Apply changes; a failure of the store is left to the reader of the list."""
        await asyncio.sleep(START_DELAY_S)
        complete_s = boottime_s() + self._heartbeats_s
        while True:
            try:
                batch = await self._store.watch(prefix, revision, WATCH_TIMEOUT_S)
            except StoreError:
                return
            revision = max(revision, batch.revision)
            for change in batch.changes:
                if change.value is not None:
                    self._apply(change)
            if boottime_s() >= complete_s:
                self._view.record_live_servers_known()
            await asyncio.sleep(self._interval_s)
