"""``monsoonline pools``: read and edit the table of pools."""

from monsoonline.commands.tables import table_group

__all__ = ["command"]

command = table_group("pools")
