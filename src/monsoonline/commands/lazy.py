"""A command group whose commands are imported when they are used."""

import importlib

import click

__all__ = ["LazyGroup"]


class LazyGroup(click.Group):
    """A group that imports a command's module on its first use.

    A daemon so does not load plotting or model checking libraries.

    :param modules: mapping from a command's name to the module that defines it as
        ``command``
    """

    def __init__(self, *args, modules, **options):
        super().__init__(*args, **options)
        self._modules = modules

    def list_commands(self, context):
        """Return the command names in the order of the mapping."""
        return list(self._modules)

    def get_command(self, context, name):
        """Import and return a command, or ``None``."""
        if name not in self._modules:
            return None
        return importlib.import_module(self._modules[name]).command
