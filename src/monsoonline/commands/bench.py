"""``monsoonline bench``: load and experiment tools."""

import importlib

import click

__all__ = ["command"]

# Name and the module that defines the subcommand as ``command``; imported on use.
COMMANDS = {
    "control": "monsoonline.commands.bench_control",
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


@click.group("bench", cls=LazyGroup)
def command():
    """Measure the system against its targets."""
