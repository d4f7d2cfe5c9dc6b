"""The ``jacinthpath`` command."""

from __future__ import annotations

__all__ = ["main"]

import sys
from collections.abc import Callable
from typing import IO, TYPE_CHECKING, TypeVar

import click

from .errors import JacinthpathError

if TYPE_CHECKING:
    from .daemon import Drainable

Settings = TypeVar("Settings")


class _CommandGroup(click.Group):
    """Prints errors of the package with their remedy and exits with their status.

    The operators' commands are imported on first use, so that the daemons do not
    keep them in memory.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), "configuration"])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the command with the given name."""
        if name == "configuration":
            from .operator_cli import configuration

            return configuration
        return super().get_command(ctx, name)

    def invoke(self, ctx: click.Context) -> object:
        """Run the selected command."""
        try:
            return super().invoke(ctx)
        except JacinthpathError as error:
            click.echo(f"Error: {error}", err=True)
            ctx.exit(error.exit_code)


@click.group(cls=_CommandGroup)
@click.version_option(package_name="jacinthpath")
def main() -> None:
    """Route requests to servers that own keys exclusively."""


def _daemon_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the options common to all daemons."""
    check = click.option("--check", is_flag=True, help="Check the settings and exit.")
    settings = click.option(
        "--settings",
        "path",
        required=True,
        type=click.Path(),
        help="TOML file with the settings of the process.",
    )
    return settings(check(function))


def _run_daemon(
    path: str,
    check: bool,
    load: Callable[[str], Settings],
    build: Callable[[Settings], Drainable],
) -> None:
    from .daemon import run_daemon

    settings = load(path)
    if check:
        click.echo(f"{path} is valid.")
        return
    sys.exit(run_daemon(build(settings)))


@main.command()
@_daemon_options
def entry(path: str, check: bool) -> None:
    """Run an entry process."""
    from .composition import build_entry
    from .settings import load_entry_settings

    _run_daemon(path, check, load_entry_settings, build_entry)


@main.command()
@_daemon_options
def control(path: str, check: bool) -> None:
    """Run a control process."""
    from .composition import build_control
    from .settings import load_control_settings

    _run_daemon(path, check, load_control_settings, build_control)


@main.command()
@click.option(
    "--settings",
    "path",
    envvar="JACINTHPATH_SETTINGS",
    required=True,
    type=click.Path(),
    help="Settings file written by the platform.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def gateway(path: str, check: bool) -> None:
    """Run a gateway process on the platform."""
    from .gateway_composition import build_gateway
    from .platform import load_settings

    _run_daemon(path, check, load_settings, lambda _settings: build_gateway(path))


@main.command()
@click.argument("request_id")
@click.argument("logs", nargs=-1, type=click.File(errors="replace"))
def explain(request_id: str, logs: tuple[IO[str], ...]) -> None:
    """Explain what happened to REQUEST_ID, from LOGS or standard input.

    LOGS are files with the standard output of the gateways, in any order.
    """
    from .gateway.explain import explain_from_logs, read_lines

    sources = logs or (click.open_file("-", errors="replace"),)
    lines = (line for source in sources for line in source)
    for line in explain_from_logs(request_id, read_lines(lines)):
        click.echo(line)


@main.command()
@click.argument("page", type=click.Choice(["metrics", "settings"]))
def reference(page: str) -> None:
    """Print a reference page as Markdown."""
    from .reference import PAGES

    click.echo(PAGES.get(page)(), nl=False)
