"""Entry point of ``python -m jacinthpath``."""

from .cli import main

main()
