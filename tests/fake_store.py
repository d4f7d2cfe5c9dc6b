"""In-memory key-value store with faults that tests can inject."""

from __future__ import annotations

from collections import defaultdict

from jacinthpath.errors import (
    StoreOutcomeUnknown,
    StoreUnavailable,
    VersionConflict,
)
from jacinthpath.store import StoredValue


class FakeStore:
    """Key-value store whose attributes inject faults.

    ``down`` makes every call fail. ``lose_responses`` lists, by key, what happens to
    the next writes: ``written``, ``not written`` or ``written, then down``, each
    without a response. ``stale_reads`` is the number of reads that return the
    previous value. ``before_swap`` contains coroutine functions, one of which runs
    before each write of the configuration, such as a concurrent write by another
    operator.
    """

    def __init__(self):
        self.values = {}
        self._previous_values = {}
        self.version = 0
        self.calls = 0
        self.down = False
        self.lose_responses = defaultdict(list)
        self.stale_reads = 0
        self.before_swap = []

    async def get(self, key):
        self._begin_call()
        if self.stale_reads and key in self._previous_values:
            self.stale_reads -= 1
            return self._previous_values[key]
        return self.values.get(key)

    async def watch(self, key, after_version, wait_s):
        value = await self.get(key)
        return value if value and value.version != after_version else None

    async def compare_and_swap(self, key, expected_version, data, lease_id=""):
        self._begin_call()
        if self.before_swap and key == "configuration/current":
            await self.before_swap.pop(0)()
        lost = self.lose_responses[key].pop(0) if self.lose_responses[key] else None
        if lost == "not written":
            raise StoreOutcomeUnknown("The response was lost.")
        value = self.values.get(key)
        actual = value.version if value else 0
        if actual != expected_version:
            raise VersionConflict(key, expected_version, actual)
        self.version += 1
        if value is not None:
            self._previous_values[key] = value
        self.values[key] = StoredValue(self.version, data)
        if lost == "written":
            raise StoreOutcomeUnknown("The response was lost.")
        if lost == "written, then down":
            self.down = True
            raise StoreOutcomeUnknown("The response was lost.")
        return self.version

    def _begin_call(self):
        self.calls += 1
        if self.down:
            raise StoreUnavailable("The store cannot be reached.")
