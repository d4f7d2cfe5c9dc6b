"""Command line of the benchmarks: ``python -m bench NAME --seed N [--json FILE]``."""

from __future__ import annotations

import json
import os
import platform
import sys
import time
from pathlib import Path
from typing import Any

import click

SOURCE = Path(__file__).resolve().parent.parent / "src"


def _use_checkout() -> None:
    """Import jacinthpath from this checkout, here and in child processes.

    Worktrees can share an environment, whose editable install refers to only one
    of them.
    """
    sys.path.insert(0, str(SOURCE))
    inherited = os.environ.get("PYTHONPATH")
    paths = [str(SOURCE), str(SOURCE.parent), *([inherited] if inherited else [])]
    os.environ["PYTHONPATH"] = os.pathsep.join(paths)


def _describe_machine() -> dict[str, Any]:
    pages = os.sysconf("SC_PHYS_PAGES")
    return {
        "cpus": os.cpu_count(),
        "python": platform.python_version(),
        "memory_mb": pages * os.sysconf("SC_PAGE_SIZE") // 2**20,
    }


@click.command()
@click.argument("name")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "json_file", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--plot", "plot_file", type=click.Path(dir_okay=False, path_type=Path))
def main(name: str, seed: int, json_file: Path | None, plot_file: Path | None) -> None:
    """Run the measure NAME and print its results."""
    _use_checkout()
    from jacinthpath.errors import JacinthpathError

    from .measures import MEASURES, format_line

    try:
        measure = MEASURES.get(name)
    except JacinthpathError as error:
        raise click.ClickException(str(error)) from None
    machine = _describe_machine()
    click.echo(format_line({"machine": platform.machine(), **machine, "seed": seed}))
    started_s = time.monotonic()
    result = measure(seed)
    closing = {
        "measure": name,
        "product": result.product,
        "naive": result.naive,
        "ratio": result.ratio,
        "unit": result.unit,
    }
    click.echo(format_line(closing))
    document = {
        "machine": machine,
        "seed": seed,
        "duration_s": round(time.monotonic() - started_s, 3),
        "variants": result.variants,
        **closing,
    }
    if json_file is not None:
        json_file.write_text(json.dumps(document, indent=2) + "\n")
    if plot_file is not None:
        from .plots import plot_result

        plot_result(document, plot_file)


if __name__ == "__main__":
    main(prog_name="bench")
