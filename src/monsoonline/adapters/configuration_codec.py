"""Encodes the messages of :mod:`monsoonline.core.configuration_messages`."""

import dataclasses
import pathlib

import capnp

from monsoonline.core import configuration_messages as messages
from monsoonline.core.rows import RowChange

__all__ = ["ConfigurationCodec"]

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("configuration.capnp")))


class ConfigurationCodec:
    """Packed pycapnp messages; one struct for each message class."""

    def encode(self, message):
        """Return the bytes of a message."""
        struct = getattr(SCHEMA, type(message).__name__)
        fields = {
            field.name: getattr(message, field.name)
            for field in dataclasses.fields(message)
        }
        if "changes" in fields:
            fields["changes"] = [dataclasses.asdict(c) for c in fields["changes"]]
        return struct.new_message(**fields).to_bytes_packed()

    def decode(self, kind, content):
        """Return the message in some bytes.

        :param kind: class of the message
        :param content: the bytes
        :raises ValueError: when the bytes are not such a message
        """
        try:
            struct = getattr(SCHEMA, kind.__name__).from_bytes_packed(content)
            fields = {f.name: getattr(struct, f.name) for f in dataclasses.fields(kind)}
            if kind is messages.Delta:
                fields["changes"] = tuple(map(self._change, fields["changes"]))
            if kind is messages.Whole:
                fields["content"] = bytes(fields["content"])
        except capnp.KjException as error:
            reason = str(error).partition("\n")[0]
            raise ValueError(f"not a {kind.__name__} message: {reason}") from error
        return kind(**fields)

    @staticmethod
    def _change(struct):
        return RowChange(
            revision=struct.revision,
            table=struct.table,
            name=struct.name,
            content=bytes(struct.content),
        )
