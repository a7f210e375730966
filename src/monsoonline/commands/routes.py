"""``monsoonline routes``: read and edit the routes table."""

from monsoonline.commands.tables import table_group

__all__ = ["command"]

command = table_group("routes")
