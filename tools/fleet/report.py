"""Reports of experiment results as a table of bounds and as JSON."""

import dataclasses
import pathlib
import sys

import click
import orjson

from monsoonline.formatting import format_table

__all__ = ["Bound", "finish"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bound:
    """A measured value and its maximum allowed value."""

    name: str
    value: float
    limit: float

    @property
    def holds(self):
        """Whether the value is within the limit."""
        return self.value <= self.limit

    def document(self):
        """Return the bound as a JSON object."""
        return {**dataclasses.asdict(self), "holds": self.holds}


def finish(name, result, bounds, *, output=None):
    """Report the result and exit with status 1 if a bound does not hold.

    :param name: name of the experiment
    :param result: JSON object with the figures
    :param bounds: sequence of :class:`Bound`
    :param output: file for the JSON document; ``None`` to only print it
    """
    document = {
        "experiment": name,
        **result,
        "bounds": [bound.document() for bound in bounds],
    }
    if output:
        options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
        pathlib.Path(output).write_bytes(orjson.dumps(document, option=options))
    rows = [
        (b.name, f"{b.value:.6g}", f"{b.limit:g}", "yes" if b.holds else "NO")
        for b in bounds
    ]
    click.echo(format_table(("figure", "value", "bound", "holds"), rows))
    click.echo(orjson.dumps(document).decode())
    sys.exit(0 if all(bound.holds for bound in bounds) else 1)
