"""Runs the command line with ``python -m jacinthpath``."""

from .cli import main

main()
