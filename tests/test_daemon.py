"""The daemon: what ends a process."""

import asyncio

from mode import Service

from jacinthpath import daemon


class CrashingService(Service):
    drained = False

    async def on_start(self):
        self.add_future(self._fail())

    async def _fail(self):
        await asyncio.sleep(0.01)
        raise RuntimeError("failed")

    async def drain(self):
        self.drained = True
        return 0


async def test_crashed_service_ends_its_process():
    """Review 2: a process whose loops had ended went on for good without them."""
    service = CrashingService()
    async with asyncio.timeout(5.0):
        assert await daemon._run(service) == 1
    assert service.drained


async def test_drain_that_fails_does_not_keep_a_service_from_stopping():
    service = CrashingService()

    async def fail():
        raise RuntimeError("failed")

    service.drain = fail
    async with asyncio.timeout(5.0):
        assert await daemon._run(service) == 1
    assert service._stopped.is_set()
