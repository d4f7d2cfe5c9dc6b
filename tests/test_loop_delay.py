"""How late the event loop learns what has arrived."""

import asyncio
import socket
import time

from jacinthpath.gateway.clock import boottime_s
from jacinthpath.gateway.loop_delay import LATE_S, MAX_DELAY_S, LoopDelay, loop_delay_of


async def test_bytes_that_came_during_a_long_pass_may_be_as_old_as_the_pass():
    """Guards against a deadline that counts from the reading of a request."""
    loop = asyncio.get_running_loop()
    delay = loop_delay_of(loop)
    late = []
    delay.on_late.append(late.append)
    reader, writer = socket.socketpair()
    reader.setblocking(False)
    await asyncio.sleep(0.01)
    began_s = boottime_s()
    writer.send(b"x")
    time.sleep(2 * LATE_S)
    await loop.sock_recv(reader, 1)
    await asyncio.sleep(0)
    assert delay.earliest_arrival_s(passes=2) <= began_s + 0.01
    assert [one for one in late if one.ran_s >= 2 * LATE_S]
    reader.close()
    writer.close()


def test_wait_beyond_the_tick_shows_that_the_process_stood_still():
    clock = iter([0.0, 1.0, 3.0, 3.0, 3.1]).__next__
    delay = LoopDelay(clock)
    late = []
    delay.on_late.append(late.append)
    delay.poll(lambda _timeout_s: [])
    assert delay.earliest_arrival_s() == 1.0
    delay.poll(lambda _timeout_s: [])
    assert [(one.ran_s, one.waited_s) for one in late] == [(1.0, 0.0), (0.0, 2.0)]


async def test_timeout_during_a_late_pass_says_nothing_about_the_other_end():
    """Late hosts took themselves for cut off from servers that had responded."""
    delay = loop_delay_of(asyncio.get_running_loop())
    await asyncio.sleep(0.01)
    began_s = boottime_s()
    assert not delay.was_delayed_since(began_s)
    time.sleep(1.5 * MAX_DELAY_S)
    assert delay.was_delayed_since(began_s)
    await asyncio.sleep(0.01)
    assert delay.was_delayed_since(began_s)
    await asyncio.sleep(0.01)
    assert not delay.was_delayed_since(boottime_s())
