"""The layers of the gateway: decisions, services, and the platform's adapter."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parent.parent / "src" / "jacinthpath"

DECISIONS = [
    "assignment",
    "assignment_delta",
    "attempts",
    "authority",
    "balance",
    "retry_budget",
    "directory",
    "exchange",
    "loads",
    "model",
    "ownership",
    "pool",
    "route_index",
]

INPUT_AND_OUTPUT = {"aiohttp", "asyncio", "mode", "os", "socket", "time"}

PLATFORM_NAMES = [
    "op/config",
    "servers/",
    "/-/kv-",
    "X-Attempt-Id",
    "X-Shard-Key",
    "traffic_split",
]


def imported(path):
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            dots = "." * node.level
            names.add(f"{dots}{node.module or ''}".partition(" ")[0])
    return names


@pytest.mark.parametrize("module", DECISIONS)
def test_decisions_import_no_input_or_output(module):
    """Decisions that read clocks or sockets could not be replayed."""
    names = imported(PACKAGE / "gateway" / f"{module}.py")
    assert names.isdisjoint(INPUT_AND_OUTPUT)
    services = {f".{path.stem}" for path in (PACKAGE / "gateway").glob("*.py")}
    assert names & services <= {f".{name}" for name in DECISIONS}


def test_the_gateway_does_not_import_the_adapter():
    """Only the composition root wires the adapter in."""
    for path in (PACKAGE / "gateway").glob("*.py"):
        assert not any("platform" in name for name in imported(path)), path


def test_only_the_adapter_knows_the_platform_names():
    for path in PACKAGE.rglob("*.py"):
        if path.parent.name == "platform":
            continue
        text = path.read_text()
        found = [name for name in PLATFORM_NAMES if f'"{name}' in text]
        assert not found, (path, found)


def test_modules_stay_small():
    """A module of one job is found sooner than a long one."""
    for folder in ("gateway", "platform"):
        for path in (PACKAGE / folder).glob("*.py"):
            assert len(path.read_text().splitlines()) <= 520, path
