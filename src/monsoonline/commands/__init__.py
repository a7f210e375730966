"""The command line: one module per group of commands."""

import importlib

import click

__all__ = ["main"]

# Command name and the module that defines it as ``command``. Modules are imported
# on use, so that a daemon does not load plotting or model checking libraries.
COMMANDS = {
    "entry": "monsoonline.commands.entry",
    "standin": "monsoonline.commands.standin",
    "upstream": "monsoonline.commands.upstream",
    "check": "monsoonline.commands.check",
    "bench": "monsoonline.commands.bench",
}


class LazyGroup(click.Group):
    """A group whose commands are imported when they are used."""

    def list_commands(self, context):
        """Return the command names in order of registration."""
        return list(COMMANDS)

    def get_command(self, context, name):
        """Import and return a command, or ``None``."""
        if name not in COMMANDS:
            return None
        return importlib.import_module(COMMANDS[name]).command


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="monsoonline")
def main():
    """Balance requests over upstreams whose load shifts in milliseconds.

    Exit codes: 0 success, 1 a check or target failed, 2 usage or settings error,
    3 service unavailable, 4 conflict or refused edit.
    """
