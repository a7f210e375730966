"""Commands that read and edit a table: list, get, put, delete and history."""

import getpass
import secrets
import sys
import urllib.parse

import click
import orjson

from monsoonline.commands.administration_client import (
    AdministrationClient,
    connection_options,
    exit_code_for_status,
)

__all__ = ["table_group"]

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print the response as one JSON line."
)
change_options = (
    click.option("--change-id", help="Id of the edit; use the same id to resend it."),
    click.option(
        "--author", help="Author recorded in the history.  [default: user name]"
    ),
)


def print_and_exit(response, *, as_json, show):
    """Print a response and exit with the exit code for its status.

    :param show: function that prints the document of a successful response as text
    """
    code = exit_code_for_status(response.status)
    if as_json:
        click.echo(orjson.dumps(response.document).decode())
    elif code == 0:
        show(response.document)
    else:
        show_error(response.document)
    sys.exit(code)


def row_target(table, name):
    """Return the path of a row in the administration API."""
    return f"/v1/{table}/{urllib.parse.quote(name, safe='')}"


def show_error(document):
    """Print the findings of an error, or its message and the current row version."""
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
            f"to find out, send again with --change-id {document['change_id']}",
            err=True,
        )


def show_rows(document):
    """Print the name, version and department of each row."""
    if document["source"] != "store":
        click.echo(
            "store unavailable; showing the rows in effect at the entry", err=True
        )
    width = max((len(row["name"]) for row in document["rows"]), default=0)
    for row in document["rows"]:
        department = row["row"]["department"]
        click.echo(f"{row['name']:<{width}}  {row['version']:>8}  {department}")


def show_row(document):
    """Print a row as indented JSON and its version to standard error."""
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
    """Return the headers of an edit request.

    :raises click.UsageError: unless exactly one of ``version`` and ``new`` is given
    """
    if (version is None) == (not new):
        raise click.UsageError(
            "expected either --version N (shown by 'get') or --new for a new row"
        )
    condition = {"If-None-Match": "*"} if new else {"If-Match": f'"{version}"'}
    return {
        **condition,
        "Monsoonline-Change-Id": change_id or secrets.token_hex(16),
        # HTTP header values are ASCII, but author names may not be.
        "Monsoonline-Author": urllib.parse.quote(author or getpass.getuser()),
    }


def send_edit(client, method, target, headers, *, document=None):
    """Send an edit; add the change id to a response that leaves its result unknown."""
    response = client.call(method, target, document=document, headers=headers)
    if response.status >= 500:
        response.document.setdefault("change_id", headers["Monsoonline-Change-Id"])
    return response


def add_reads(group, table):
    """Add the commands that read the table."""

    @group.command("list")
    @connection_options
    @json_option
    def list_rows(url, token, as_json):
        """List the name, version and department of each row."""
        response = AdministrationClient(url=url, token=token).call(
            "GET", f"/v1/{table}"
        )
        print_and_exit(response, as_json=as_json, show=show_rows)

    @group.command("get")
    @click.argument("name")
    @connection_options
    @json_option
    def get_row(name, url, token, as_json):
        """Print the row NAME as JSON and its version to standard error."""
        client = AdministrationClient(url=url, token=token)
        response = client.call("GET", row_target(table, name))
        print_and_exit(response, as_json=as_json, show=show_row)

    @group.command("history")
    @click.argument("name")
    @connection_options
    @json_option
    def show_row_history(name, url, token, as_json):
        """Print the changes of the row NAME, oldest first."""
        client = AdministrationClient(url=url, token=token)
        response = client.call("GET", row_target(table, name) + "/history")
        print_and_exit(response, as_json=as_json, show=show_history)


def add_edits(group, table):
    """Add the commands that edit the table."""

    @group.command("put")
    @click.argument("name")
    @click.argument("file", type=click.File("rb"))
    @click.option(
        "--version",
        type=click.IntRange(min=1),
        help="Row version that the edit replaces.",
    )
    @click.option("--new", is_flag=True, help="Create a row that does not exist.")
    @change_options[0]
    @change_options[1]
    @connection_options
    @json_option
    def put_row(name, file, version, new, change_id, author, url, token, as_json):
        """Write the row NAME from the JSON FILE ('-' for standard input).

        The exit code is 4 when the row has changed since the given version.
        """
        headers = edit_headers(change_id, author, version=version, new=new)
        try:
            document = orjson.loads(file.read())
        except orjson.JSONDecodeError as error:
            raise click.UsageError(
                f"{file.name}: expected a JSON document: {error}"
            ) from None
        client = AdministrationClient(url=url, token=token)
        target = row_target(table, name)
        response = send_edit(client, "PUT", target, headers, document=document)
        print_and_exit(response, as_json=as_json, show=show_edit)

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
        response = send_edit(client, "DELETE", row_target(table, name), headers)
        print_and_exit(response, as_json=as_json, show=show_edit)


def table_group(table):
    """Create the command group of a table.

    :param table: ``routes`` or ``pools``
    """
    group = click.Group(
        name=table,
        help=f"Read and edit the {table} table through an entry.\n\n"
        "Exit codes: 0 success (also while a change is still propagating), 2 usage "
        "error or wrong token, 3 service unavailable or result unknown, 4 conflict "
        "or refused edit.",
    )
    add_reads(group, table)
    add_edits(group, table)
    return group
