"""Command-line interface, with one module per command group."""

import click

from monsoonline.commands.lazy import LazyGroup

__all__ = ["main"]

# Maps a command name to the module whose ``command`` attribute implements it.
COMMANDS = {
    "entry": "monsoonline.commands.entry",
    "standin": "monsoonline.commands.standin",
    "upstream": "monsoonline.commands.upstream",
    "demo": "monsoonline.commands.demo",
    "routes": "monsoonline.commands.routes",
    "pools": "monsoonline.commands.pools",
    "check": "monsoonline.commands.check",
    "status": "monsoonline.commands.status",
    "report": "monsoonline.commands.report",
    "explain": "monsoonline.commands.explain",
    "verify": "monsoonline.commands.verify",
    "bench": "monsoonline.commands.bench",
}


@click.group(
    cls=LazyGroup,
    modules=COMMANDS,
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.version_option(package_name="monsoonline")
def main():
    """Balance requests across upstreams whose load changes within milliseconds.

    Exit codes: 0 success, 1 a check or target failed, 2 usage or settings error,
    3 service unavailable, 4 conflict or refused edit.
    """
