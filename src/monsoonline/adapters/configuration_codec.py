"""Encodes the messages of :mod:`monsoonline.core.configuration_messages`."""

import dataclasses
import pathlib

import capnp

from monsoonline.core import configuration_messages as messages
from monsoonline.core.rows import RowChange

__all__ = ["ConfigurationCodec"]

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("configuration.capnp")))


class ConfigurationCodec:
    """Codec for packed pycapnp messages.

    Each message class maps to the struct of the same name in ``configuration.capnp``.
    """

    def encode(self, message):
        """Return a message as packed bytes."""
        struct = getattr(SCHEMA, type(message).__name__)
        fields = {
            field.name: getattr(message, field.name)
            for field in dataclasses.fields(message)
        }
        if "changes" in fields:
            fields["changes"] = [dataclasses.asdict(c) for c in fields["changes"]]
        return struct.new_message(**fields).to_bytes_packed()

    def decode(self, kind, content):
        """Return the message that the bytes encode.

        :param kind: expected message class
        :param content: packed bytes
        :raises ValueError: when the bytes do not encode a message of this class
        """
        try:
            struct = getattr(SCHEMA, kind.__name__).from_bytes_packed(content)
            fields = {f.name: getattr(struct, f.name) for f in dataclasses.fields(kind)}
            if kind is messages.Delta:
                fields["changes"] = tuple(map(self._to_row_change, fields["changes"]))
            if kind is messages.Whole:
                fields["content"] = bytes(fields["content"])
        except capnp.KjException as error:
            reason = str(error).partition("\n")[0]
            raise ValueError(
                f"cannot decode a {kind.__name__} message: {reason}"
            ) from error
        return kind(**fields)

    @staticmethod
    def _to_row_change(struct):
        return RowChange(
            revision=struct.revision,
            table=struct.table,
            name=struct.name,
            content=bytes(struct.content),
        )
