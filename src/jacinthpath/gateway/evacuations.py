"""Data centres that are evacuated: their servers are to get no more requests."""

from __future__ import annotations

__all__ = ["Evacuations"]

from collections.abc import Mapping

from .directory import REMOVAL_DELAY_S
from .revisions import era_of_revision

USE_RATIO = 0.6
"""Fraction of the evacuation time for which owners there still receive requests. It is
counted from when a host first heard of the evacuation, which began earlier."""


class Evacuations:
    """The evacuated data centres, each with the time since when.

    Times are seconds on the boot clock.

    :param evacuation_s: time for which servers of an evacuated data centre may still
        receive requests.
    :ivar revision: newest revision of the store that is reflected here, 0 if none is.
    """

    def __init__(self, evacuation_s: float) -> None:
        self.revision = 0
        self._use_s = USE_RATIO * evacuation_s
        self._since_s: dict[str, float] = {}
        self._kept_until_s: dict[str, float] = {}

    def __bool__(self) -> bool:
        """Return whether any data centre is evacuated."""
        return bool(self._since_s)

    def __contains__(self, data_centre: object) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self._since_s

    def listed(self) -> dict[str, float]:
        """Return since when each data centre is evacuated, as far as is known.

        Those that are missing in a restored store are left out.
        """
        return {
            name: since_s
            for name, since_s in self._since_s.items()
            if name not in self._kept_until_s
        }

    def is_closed(self, data_centre: str, now_s: float) -> bool:
        """Return whether nothing may be sent to a data centre any more."""
        since_s = self._since_s.get(data_centre)
        return since_s is not None and now_s - since_s >= self._use_s

    def replace(
        self, since_s: Mapping[str, float], revision: int, now_s: float
    ) -> tuple[list[str], list[str]]:
        """Apply a whole list, unless a newer one is known.

        Of two times for one evacuation the earlier one holds. One that is missing in
        the first list after a restore of the store may be one of the writes that were
        lost, and is kept until the operator has had time to write it again.

        :return: the data centres whose evacuation has begun and ended.
        """
        if revision < self.revision:
            return [], []
        previous = self._since_s
        if self.revision and era_of_revision(revision) > era_of_revision(self.revision):
            self._kept_until_s = dict.fromkeys(previous, now_s + REMOVAL_DELAY_S)
        self.revision = revision
        for name in since_s:
            self._kept_until_s.pop(name, None)
        self._since_s = {name: previous[name] for name in self._kept_until_s} | {
            name: min(at_s, previous.get(name, at_s)) for name, at_s in since_s.items()
        }
        begun = [name for name in self._since_s if name not in previous]
        return begun, [name for name in previous if name not in self._since_s]

    def confirm_end(self, data_centre: str) -> None:
        """Record that the operator has ended an evacuation since the restore."""
        self._kept_until_s.pop(data_centre, None)

    def expire(self, now_s: float) -> list[str]:
        """End the evacuations that are still missing in a restored store.

        :return: the data centres whose evacuation has ended.
        """
        ended = [name for name, due_s in self._kept_until_s.items() if now_s >= due_s]
        for name in ended:
            del self._kept_until_s[name]
            del self._since_s[name]
        return ended
