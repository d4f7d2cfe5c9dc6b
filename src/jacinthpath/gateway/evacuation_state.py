"""Applies the evacuations of data centres, from the store and from peers."""

from __future__ import annotations

__all__ = ["EvacuationState"]

from collections.abc import Callable, Mapping

from ..json_documents import UNREADABLE, check_text, describe, parse_json
from .clock import boottime_s
from .directory import ServerDirectory
from .evacuations import Evacuations
from .events import EventLog
from .store import Change, Item, Listing


class EvacuationState:
    """Decodes evacuations and logs their changes.

    :param record_refused: called with the name of a document, its revision and the
        error when it cannot be read.
    :param handle_change: called with the data centres whose evacuation has ended, after
        each change.
    """

    def __init__(
        self,
        evacuated: Evacuations,
        directory: ServerDirectory,
        events: EventLog,
        record_refused: Callable[[str, int, Exception], None],
        handle_change: Callable[[list[str]], None],
    ) -> None:
        self._evacuated = evacuated
        self._directory = directory
        self._events = events
        self._record_refused = record_refused
        self._handle_change = handle_change

    def apply(self, change: Change, prefix: str) -> None:
        """Apply a change of one key, which ends in the name of a data centre.

        One transaction may change several keys at the same revision.
        """
        if change.revision < self._evacuated.revision:
            return
        name = change.key.removeprefix(prefix)
        since_s = self._evacuated.listed()
        if change.value is None:
            since_s.pop(name, None)
            self._evacuated.confirm_end(name)
        elif self._is_readable(name, Item(*change)):
            since_s.setdefault(name, boottime_s())
        self._replace(since_s, change.revision, "store")

    def replace(self, listing: Listing, prefix: str) -> None:
        """Apply the whole list of the store.

        A key whose value cannot be read changes nothing.
        """
        now_s = boottime_s()
        items = {item.key.removeprefix(prefix): item for item in listing.items}
        since_s = {
            name: now_s
            for name, item in items.items()
            if self._is_readable(name, item) or name in self._evacuated
        }
        self._replace(since_s, listing.revision, "store")

    def replace_by_peer(
        self, ages_s: Mapping[str, float], revision: int, source: str
    ) -> None:
        """Apply the whole list of a peer if it is newer.

        :param ages_s: how long ago a host has heard of each evacuation.
        """
        if revision <= self._evacuated.revision:
            return
        now_s = boottime_s()
        since_s = {check_text(name): now_s - age_s for name, age_s in ages_s.items()}
        self._replace(since_s, revision, source)

    def expire(self) -> None:
        """End the evacuations that nobody has written again to a restored store."""
        ended = self._evacuated.expire(boottime_s())
        self._record_ended(ended, self._evacuated.revision, "restored store")

    def _is_readable(self, name: str, item: Item) -> bool:
        try:
            check_text(name)
            if not isinstance(parse_json(item.value), dict):
                raise ValueError("the value is not an object")
        except UNREADABLE as error:
            document = f"evacuation of {describe(name)}"
            self._record_refused(document, item.revision, error)
            return False
        return True

    def _replace(
        self, since_s: Mapping[str, float], revision: int, source: str
    ) -> None:
        begun, ended = self._evacuated.replace(since_s, revision, boottime_s())
        for name in begun:
            servers = self._count_servers(name)
            self._events.log_state_change(
                "evacuation_begun" if servers else "evacuation_without_servers",
                data_centre=name,
                servers=servers,
                age_ms=round(1000 * (boottime_s() - since_s[name])),
                revision=revision,
                source=source,
            )
        if begun:
            self._handle_change([])
        self._record_ended(ended, revision, source)

    def _record_ended(self, ended: list[str], revision: int, source: str) -> None:
        for name in ended:
            self._events.log_state_change(
                "evacuation_ended", data_centre=name, revision=revision, source=source
            )
        if ended:
            self._handle_change(ended)

    def _count_servers(self, data_centre: str) -> int:
        backends = self._directory.all().values()
        return sum(backend.data_centre == data_centre for backend in backends)
