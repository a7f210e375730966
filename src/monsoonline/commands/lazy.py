"""Click group that imports its commands on demand."""

import importlib

import click

__all__ = ["LazyGroup"]


class LazyGroup(click.Group):
    """Group that imports the module of a command on its first use.

    An entry process therefore does not load the plotting and model checking libraries.

    :param modules: mapping from a command name to the module whose ``command``
        attribute implements it
    """

    def __init__(self, *args, modules, **options):
        super().__init__(*args, **options)
        self._modules = modules

    def list_commands(self, context):
        """Return the command names in the order of the mapping."""
        return list(self._modules)

    def get_command(self, context, name):
        """Import and return a command, or ``None`` for an unknown name."""
        if name not in self._modules:
            return None
        return importlib.import_module(self._modules[name]).command
