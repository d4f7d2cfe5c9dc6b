"""Shared fixtures, and the list of known failures."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests() -> set[str]:
    """Return the node identities on the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def pytest_collection_modifyitems(config, items):
    listed = known_red_tests()
    red = [item for item in items if item.nodeid in listed]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]
    config.stash[_RED_KEY] = [item.nodeid for item in red]


def pytest_terminal_summary(terminalreporter, config):
    for node_id in config.stash.get(_RED_KEY, []):
        terminalreporter.write_line(f"known red, not run: {node_id}")


_RED_KEY = pytest.StashKey()
