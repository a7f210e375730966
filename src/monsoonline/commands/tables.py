"""Commands that read and edit a table: ``list get put delete history``."""

import getpass
import secrets
import sys
import urllib.parse

import click
import orjson

from monsoonline.commands.administration_client import (
    AdministrationClient,
    connection_options,
    exit_code_of,
)

__all__ = ["table_group"]

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print the answer as one JSON line."
)
change_options = (
    click.option("--change-id", help="Id of the edit; a resend repeats the same id."),
    click.option("--author", help="Who edits, for the history.  [default: user name]"),
)


def finish(answer, *, as_json, show):
    """Print an answer and exit with its code."""
    code = exit_code_of(answer.status)
    if as_json:
        click.echo(orjson.dumps(answer.document).decode())
    elif code == 0:
        show(answer.document)
    else:
        show_error(answer.document)
    sys.exit(code)


def row_target(table, name):
    """Return the path of a row."""
    return f"/v1/{table}/{urllib.parse.quote(name, safe='')}"


def show_error(document):
    """Print an error with its findings or the row's current version."""
    if "findings" in document:
        for finding in document["findings"]:
            value, expected = finding["value"], finding["expected"]
            click.echo(f"{finding['path']}: {value!r}, expected {expected}", err=True)
        return
    click.echo(f"{document.get('code')}: {document.get('message')}", err=True)
    if document.get("current"):
        click.echo(f"current version: {document['current']['version']}", err=True)
    if document.get("change_id"):
        click.echo(
            f"to find out, ask again with --change-id {document['change_id']}", err=True
        )


def show_rows(document):
    """Print names, versions and departments of rows."""
    if document["source"] != "store":
        click.echo("store unavailable; rows in effect at the entry:", err=True)
    width = max((len(row["name"]) for row in document["rows"]), default=0)
    for row in document["rows"]:
        department = row["row"]["department"]
        click.echo(f"{row['name']:<{width}}  {row['version']:>8}  {department}")


def show_row(document):
    """Print a row as indented JSON, and its version on standard error."""
    click.echo(f"version {document['version']}", err=True)
    click.echo(orjson.dumps(document["row"], option=orjson.OPT_INDENT_2).decode())


def show_edit(document):
    """Print the outcome of an edit."""
    click.echo(
        f"{document['code']}: {document['table']} {document['name']} version "
        f"{document['version_after']}, change {document['change_id']}"
    )


def show_history(document):
    """Print one line for each change."""
    for change in document["changes"]:
        verb = "delete" if change["row"] is None else "put"
        click.echo(
            f"{change['time']}  {change['version_before']:>6} -> "
            f"{change['version_after']:>6}  {verb:<6}  {change['department']}  "
            f"{change['author']}  {change['change_id']}"
        )


def edit_headers(change_id, author, *, version, new):
    """Return the headers of an edit."""
    if (version is None) == (not new):
        raise click.UsageError(
            "state what you edit: --version N (shown by 'get'), or --new for a new row"
        )
    condition = {"If-None-Match": "*"} if new else {"If-Match": f'"{version}"'}
    return {
        **condition,
        "Monsoonline-Change-Id": change_id or secrets.token_hex(16),
        # Header values are ASCII; names of people are not.
        "Monsoonline-Author": urllib.parse.quote(author or getpass.getuser()),
    }


def send_edit(client, method, target, headers, *, document=None):
    """Send an edit; an answer without result names the change id."""
    answer = client.call(method, target, document=document, headers=headers)
    if answer.status >= 500:
        answer.document.setdefault("change_id", headers["Monsoonline-Change-Id"])
    return answer


def add_reads(group, table):
    """Add the commands that read."""

    @group.command("list")
    @connection_options
    @json_option
    def list_rows(url, token, as_json):
        """List the rows: name, version, department."""
        answer = AdministrationClient(url=url, token=token).call("GET", f"/v1/{table}")
        finish(answer, as_json=as_json, show=show_rows)

    @group.command("get")
    @click.argument("name")
    @connection_options
    @json_option
    def get_row(name, url, token, as_json):
        """Print the row NAME; its version goes to standard error."""
        client = AdministrationClient(url=url, token=token)
        answer = client.call("GET", row_target(table, name))
        finish(answer, as_json=as_json, show=show_row)

    @group.command("history")
    @click.argument("name")
    @connection_options
    @json_option
    def show_row_history(name, url, token, as_json):
        """Print the changes of the row NAME, oldest first."""
        client = AdministrationClient(url=url, token=token)
        answer = client.call("GET", row_target(table, name) + "/history")
        finish(answer, as_json=as_json, show=show_history)


def add_edits(group, table):
    """Add the commands that edit."""

    @group.command("put")
    @click.argument("name")
    @click.argument("file", type=click.File("rb"))
    @click.option("--version", type=click.IntRange(min=1), help="Version you edit.")
    @click.option("--new", is_flag=True, help="Create a row that does not exist.")
    @change_options[0]
    @change_options[1]
    @connection_options
    @json_option
    def put_row(name, file, version, new, change_id, author, url, token, as_json):
        """Write the row NAME from the JSON FILE ('-' for standard input).

        Exits with 4 when somebody else changed the row since the given version.
        """
        headers = edit_headers(change_id, author, version=version, new=new)
        try:
            document = orjson.loads(file.read())
        except orjson.JSONDecodeError as error:
            raise click.UsageError(
                f"{file.name}: not a JSON document: {error}"
            ) from None
        client = AdministrationClient(url=url, token=token)
        target = row_target(table, name)
        answer = send_edit(client, "PUT", target, headers, document=document)
        finish(answer, as_json=as_json, show=show_edit)

    @group.command("delete")
    @click.argument("name")
    @click.option("--version", type=click.IntRange(min=1), required=True)
    @change_options[0]
    @change_options[1]
    @connection_options
    @json_option
    def delete_row(name, version, change_id, author, url, token, as_json):
        """Delete the row NAME at the given version."""
        headers = edit_headers(change_id, author, version=version, new=False)
        client = AdministrationClient(url=url, token=token)
        answer = send_edit(client, "DELETE", row_target(table, name), headers)
        finish(answer, as_json=as_json, show=show_edit)


def table_group(table):
    """Return the group of commands of a table.

    :param table: ``routes`` or ``pools``
    """
    group = click.Group(
        name=table,
        help=f"Read and edit the table of {table} through an entry.\n\n"
        "Exit codes: 0 success (also while a change is still propagating), 2 usage "
        "error or wrong token, 3 service unavailable or result unknown, 4 conflict "
        "or refused edit.",
    )
    add_reads(group, table)
    add_edits(group, table)
    return group
