"""Output functions shared by the commands."""

import click
import orjson

__all__ = ["print_document"]


def print_document(document, *, as_json):
    """Print a flat mapping as one JSON line or as aligned columns.

    :param document: mapping from names to values
    :param as_json: whether to print JSON instead of columns
    """
    if as_json:
        click.echo(orjson.dumps(document).decode())
        return
    width = max((len(name) for name in document), default=0)
    for name, value in document.items():
        click.echo(f"{name:<{width}}  {value}")
