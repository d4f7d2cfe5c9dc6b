"""The ``jacinthpath`` command."""

from __future__ import annotations

__all__ = ["main"]

import sys
from collections.abc import Callable

import click

from .errors import JacinthpathError


class _Command(click.Group):
    """Shows typed errors with their remedy and ends with their exit status.

    The operators' commands are loaded when they are used, so that the daemons
    do not hold them in memory.
    """

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), "configuration"])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the command called ``name``."""
        if name == "configuration":
            from .operator_cli import configuration

            return configuration
        return super().get_command(ctx, name)

    def invoke(self, ctx: click.Context) -> object:
        """Run the command that was chosen."""
        try:
            return super().invoke(ctx)
        except JacinthpathError as error:
            click.echo(f"Error: {error}", err=True)
            ctx.exit(error.exit_code)


@click.group(cls=_Command)
@click.version_option(package_name="jacinthpath")
def main() -> None:
    """Route requests to servers that own keys exclusively."""


def _settings_option(function: Callable[..., None]) -> Callable[..., None]:
    return click.option(
        "--settings",
        "path",
        required=True,
        type=click.Path(),
        help="TOML file with the settings of the process.",
    )(function)


@main.command()
@_settings_option
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def entry(path: str, check: bool) -> None:
    """Run an entry process."""
    from .composition import build_entry
    from .daemon import run_daemon
    from .settings import load_entry_settings

    settings = load_entry_settings(path)
    if check:
        click.echo(f"{path} is valid.")
        return
    sys.exit(run_daemon(build_entry(settings)))


@main.command()
@_settings_option
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def control(path: str, check: bool) -> None:
    """Run a control process."""
    from .composition import build_control
    from .daemon import run_daemon
    from .settings import load_control_settings

    settings = load_control_settings(path)
    if check:
        click.echo(f"{path} is valid.")
        return
    sys.exit(run_daemon(build_control(settings)))


@main.command()
@click.argument("page", type=click.Choice(["metrics", "settings"]))
def reference(page: str) -> None:
    """Print a reference page as Markdown."""
    from .reference import PAGES

    click.echo(PAGES.get(page)(), nl=False)
