"""In-memory key-value store with the faults of the real one."""

from __future__ import annotations

from collections import defaultdict

from jacinthpath.errors import (
    StoreOutcomeUnknown,
    StoreUnavailable,
    VersionConflict,
)
from jacinthpath.store import StoredValue


class FakeStore:
    """Faults are switches; a lost answer hits the next writes of a key.

    ``before_swap`` holds coroutine functions, one of which runs before each
    write of the configuration, as another operator would.
    """

    def __init__(self):
        self.values = {}
        self.older = {}
        self.version = 0
        self.calls = 0
        self.down = False
        self.lose_answers = defaultdict(list)
        self.stale_reads = 0
        self.before_swap = []

    async def get(self, key):
        self._answer()
        if self.stale_reads and key in self.older:
            self.stale_reads -= 1
            return self.older[key]
        return self.values.get(key)

    async def watch(self, key, after_version, wait_s):
        value = await self.get(key)
        return value if value and value.version != after_version else None

    async def compare_and_swap(self, key, expected_version, data, lease_id=""):
        self._answer()
        if self.before_swap and key == "configuration/current":
            await self.before_swap.pop(0)()
        lost = self.lose_answers[key].pop(0) if self.lose_answers[key] else None
        if lost == "not written":
            raise StoreOutcomeUnknown("The answer was lost.")
        value = self.values.get(key)
        actual = value.version if value else 0
        if actual != expected_version:
            raise VersionConflict(key, expected_version, actual)
        self.version += 1
        if value is not None:
            self.older[key] = value
        self.values[key] = StoredValue(self.version, data)
        if lost == "written":
            raise StoreOutcomeUnknown("The answer was lost.")
        if lost == "written, then down":
            self.down = True
            raise StoreOutcomeUnknown("The answer was lost.")
        return self.version

    def _answer(self):
        self.calls += 1
        if self.down:
            raise StoreUnavailable("The store cannot be reached.")
