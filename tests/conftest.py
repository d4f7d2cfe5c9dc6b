"""Hooks that limit the duration of tests and deselect known failures."""

import signal
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


TEST_TIMEOUT_S = 90


@pytest.hookimpl(wrapper=True)
def pytest_runtest_protocol(item):
    """Fail a test that hangs, so that CI always completes."""

    def fail(_number, _frame):
        raise TimeoutError(f"{item.nodeid} ran longer than {TEST_TIMEOUT_S} s")

    previous = signal.signal(signal.SIGALRM, fail)
    signal.alarm(TEST_TIMEOUT_S)
    try:
        return (yield)
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous)


def known_red_tests() -> set[str]:
    """Return the node IDs on the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(config, items):
    known_red_ids = known_red_tests()
    red = [item for item in items if item.nodeid in known_red_ids]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]
    config.stash[_RED_KEY] = [item.nodeid for item in red]


def pytest_collection_finish():
    """Have Hypothesis read the modules for constants before the first test.

    It does so with the first input that it generates, once for each checkout, and the
    time counts in its check of how fast inputs are generated.
    """

    @settings(max_examples=1, suppress_health_check=[HealthCheck.too_slow])
    @given(st.integers(), st.text())
    def generate_first_input(_integer, _text):
        pass

    generate_first_input()


def pytest_terminal_summary(terminalreporter, config):
    for node_id in config.stash.get(_RED_KEY, []):
        terminalreporter.write_line(f"known red, not run: {node_id}")


_RED_KEY = pytest.StashKey()
