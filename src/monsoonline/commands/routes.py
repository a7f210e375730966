"""``monsoonline routes``: read and edit the table of routes."""

from monsoonline.commands.tables import table_group

__all__ = ["command"]

command = table_group("routes")
