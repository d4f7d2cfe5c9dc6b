"""Starts jacinthpath from the repository, where it is not installed."""

import sys
from pathlib import Path

# The package folder itself must not be on the path: its ``platform`` folder would
# hide the standard library's module of that name.
sys.path[0] = str(Path(__file__).resolve().parent.parent / "src")

from jacinthpath.cli import main  # noqa: E402

main()
