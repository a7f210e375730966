"""``monsoonline check``: validate settings, routes and pools files."""

import dataclasses
import pathlib
import sys

import click
import orjson
import pydantic

from monsoonline.core.documents import (
    DOCUMENTS,
    reference_findings,
    row_findings,
    tables_findings,
)
from monsoonline.errors import Finding, FindingsError
from monsoonline.fleet_settings import parse_settings
from monsoonline.settings import EntrySettings, to_findings

__all__ = ["check_files", "command"]

# Tells the settings of an entry with a shared store from those with a platform URL.
FLEET_SETTINGS_KEY = "listen"
KINDS = "a settings file, a row, or an object with 'routes' and 'pools'"


def load(path):
    """Return the JSON value of a file and a list of findings."""
    try:
        return orjson.loads(pathlib.Path(path).read_bytes()), []
    except orjson.JSONDecodeError as error:
        expected = f"a JSON document: {error}"
        return None, [Finding(place=path, path=".", value=None, expected=expected)]


def check_document(document, *, place):
    """Return the findings of one file, by its kind."""
    if not isinstance(document, dict):
        return [Finding(place=place, path=".", value=document, expected=KINDS)]
    if document.keys() & DOCUMENTS.keys():
        return tables_findings(document, place=place)
    if "department" in document:
        table = "pools" if "upstreams" in document else "routes"
        return row_findings(table, "row", document, place=place)
    if FLEET_SETTINGS_KEY in document:
        try:
            parse_settings(orjson.dumps(document), place=place)
        except FindingsError as error:
            return list(error.findings)
        return []
    try:
        EntrySettings.model_validate(document)
    except pydantic.ValidationError as error:
        return list(to_findings(error, place=place))
    return []


def cross_findings(documents):
    """Return the findings that appear only when files are taken together.

    :param documents: JSON values by file name
    """
    findings = []
    owners = {}
    pools = {}
    for place, document in documents.items():
        for table in DOCUMENTS:
            rows = document.get(table)
            for name in rows if isinstance(rows, dict) else ():
                owner = owners.setdefault((table, name), place)
                if owner != place:
                    path, expected = f"{table}.{name}", f"a name not used in {owner}"
                    findings.append(
                        Finding(place=place, path=path, value=name, expected=expected)
                    )
        if isinstance(document.get("pools"), dict):
            pools.update(document["pools"])
    for place, document in documents.items():
        # References inside one file were checked with the file.
        if pools and "routes" in document and "pools" not in document:
            joined = {"routes": document["routes"], "pools": pools}
            findings.extend(reference_findings(joined, place=place))
    return findings


def check_files(paths):
    """Return all findings of some files, alone and together."""
    findings = []
    documents = {}
    for path in paths:
        document, faults = load(path)
        findings.extend(faults or check_document(document, place=path))
        if isinstance(document, dict):
            documents[path] = document
    return findings + cross_findings(documents)


@click.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def command(files, as_json):
    """Validate settings, routes and pools FILES and print all findings.

    A file is recognised by its content: an object with "routes" or "pools" (or both),
    a single row as 'routes put' takes it, or the settings of an entry. Routes are
    checked against the pools of all files given together.

    Exit codes: 0 no findings, 1 findings, 2 a file cannot be read.
    """
    findings = check_files(files)
    if as_json:
        document = {
            "files": list(files),
            "findings": [dataclasses.asdict(finding) for finding in findings],
        }
        click.echo(orjson.dumps(document, default=str).decode())
    else:
        for finding in findings:
            click.echo(str(finding))
    sys.exit(1 if findings else 0)
