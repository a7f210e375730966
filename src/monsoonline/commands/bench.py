"""``monsoonline bench``: load and experiments."""

import importlib

import click

__all__ = ["command"]

# Subcommand name and the module that defines it as ``command``; imported on use.
COMMANDS = {
    "relay": "monsoonline.commands.bench_relay",
}


class LazyBenchGroup(click.Group):
    """A group whose subcommands are imported when they are used."""

    def list_commands(self, context):
        """Return the subcommand names in order of registration."""
        return list(COMMANDS)

    def get_command(self, context, name):
        """Import and return a subcommand, or ``None``."""
        if name not in COMMANDS:
            return None
        return importlib.import_module(COMMANDS[name]).command


@click.group("bench", cls=LazyBenchGroup)
def command():
    """Measure the system and compare policies."""
