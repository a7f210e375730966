"""``monsoonline check``: validate settings files."""

import sys

import click

from monsoonline.errors import FindingsError
from monsoonline.settings import load_settings

__all__ = ["command"]


@click.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--json", "as_json", is_flag=True, help="Print findings as JSON lines.")
def command(files, as_json):
    """Validate settings FILES and print all findings."""
    findings = []
    for name in files:
        try:
            load_settings(name)
        except FindingsError as error:
            findings.extend(error.findings)
    for finding in findings:
        click.echo(str(finding))
    sys.exit(2 if findings else 0)
