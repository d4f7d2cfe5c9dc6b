"""Runs the examples of docs/embedding.md."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

import jacinthpath

PAGE = Path(__file__).parents[1] / "docs" / "embedding.md"
EXAMPLE = re.compile(
    r"^##+ ([^\n]+)\n(?:(?!^##).)*?^```python\n(.*?)^```$", re.M | re.S
)
EXAMPLES = EXAMPLE.findall(PAGE.read_text())
SECTIONS = {
    "Grants with fencing",
    "Slice placement",
    "Hot keys",
    "Membership",
    "Dissemination",
    "Configuration",
    "At-most-once records",
    "Admission and scheduling",
    "Adaptive limit",
    "Endpoint selection",
    "Retries",
    "Deferral",
}


def test_each_section_has_an_example_that_is_run():
    """Guards against a code block that the regular expression does not match."""
    assert {title for title, _ in EXAMPLES} == SECTIONS
    assert len(EXAMPLES) == PAGE.read_text().count("```python")
    assert all("assert " in code for _, code in EXAMPLES)


@pytest.mark.parametrize("code", [pytest.param(c, id=t) for t, c in EXAMPLES])
def test_example(code):
    """Guards against examples that no longer match the library."""
    exec(compile(code, str(PAGE), "exec"), {"__name__": "example"})


def test_examples_load_no_daemon_dependencies():
    """Guards against library modules that import what only daemons need."""
    print_loaded = (
        "print([m for m in ('aiohttp', 'mode', 'structlog') if m in sys.modules])"
    )
    code = "\n".join(["import sys", *(code for _, code in EXAMPLES), print_loaded])
    # An editable installation may refer to another work tree.
    source = str(Path(jacinthpath.__file__).parents[1])
    result = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": source},
    )
    assert (result.returncode, result.stdout.strip()) == (0, "[]"), result.stderr
