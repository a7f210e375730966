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

# Only settings of an entry with a shared store have this key; other entries have a
# platform URL.
FLEET_SETTINGS_KEY = "listen"
EXPECTED_KINDS = "a settings file, a row, or an object with 'routes' and 'pools'"


def load_json(path):
    """Return the JSON value of a file (``None`` if invalid) and a list of findings."""
    try:
        return orjson.loads(pathlib.Path(path).read_bytes()), []
    except orjson.JSONDecodeError as error:
        expected = f"a JSON document: {error}"
        return None, [Finding(place=path, path=".", value=None, expected=expected)]


def check_document(document, *, place):
    """Detect the kind of a document and return its findings."""
    if not isinstance(document, dict):
        return [Finding(place=place, path=".", value=document, expected=EXPECTED_KINDS)]
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


def cross_file_findings(documents):
    """Return the findings that result from combining several files.

    Checks for names defined in more than one file and for routes that refer to a
    pool in another file.

    :param documents: mapping from a file name to the JSON value of the file
    """
    findings = []
    defining_files = {}
    pools = {}
    for place, document in documents.items():
        for table in DOCUMENTS:
            rows = document.get(table)
            for name in rows if isinstance(rows, dict) else ():
                defining_file = defining_files.setdefault((table, name), place)
                if defining_file != place:
                    path, expected = (
                        f"{table}.{name}",
                        f"a name not used in {defining_file}",
                    )
                    findings.append(
                        Finding(place=place, path=path, value=name, expected=expected)
                    )
        if isinstance(document.get("pools"), dict):
            pools.update(document["pools"])
    for place, document in documents.items():
        # References within one file are covered by check_document.
        if pools and "routes" in document and "pools" not in document:
            combined = {"routes": document["routes"], "pools": pools}
            findings.extend(reference_findings(combined, place=place))
    return findings


def check_files(paths):
    """Return the findings of each file and of the files combined."""
    findings = []
    documents = {}
    for path in paths:
        document, load_findings = load_json(path)
        findings.extend(load_findings or check_document(document, place=path))
        if isinstance(document, dict):
            documents[path] = document
    return findings + cross_file_findings(documents)


@click.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def command(files, as_json):
    """Validate settings, routes and pools FILES and print all findings.

    The kind of a file is detected from its content: an object with "routes" or "pools"
    (or both), a single row as accepted by 'routes put', or the settings of an entry.
    Routes are checked against the pools of all given files.

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
