"""``monsoonline pools``: read and edit the pools table."""

from monsoonline.commands.tables import table_group

__all__ = ["command"]

command = table_group("pools")
