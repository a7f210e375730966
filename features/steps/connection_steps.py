"""Steps of requests that share one connection, and of requests that crash."""

import contextlib
import http.client
import re
import socket

import orjson
from behave import then, when

from support.deployment import LOOKUPS
from support.http import exchange
from support.load import IDENTITY_HEADER
from support.stock import damage

PIPELINED = 8
TIMEOUT_SECONDS = 5.0
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
CRASH_HEADER = "Monsoonline-Standin-Crash"
CRASH_SENDS = 12
CRASH_SEND_SECONDS = 8.0


@when('a caller sends several requests at once on one connection to entry "{name}"')
def send_pipelined(context, name):
    context.identities = [f"piped-{context.seed}-{n}" for n in range(PIPELINED)]
    requests = [
        f"GET {LOOKUPS}/{number} HTTP/1.1\r\nHost: quotes\r\n"
        f"{IDENTITY_HEADER}: {identity}\r\n\r\n"
        for number, identity in enumerate(context.identities)
    ]
    host, _, port = context.deployment.entries[name].callers.rpartition(":")
    address = (host, int(port))
    with socket.create_connection(address, timeout=TIMEOUT_SECONDS) as connection:
        connection.sendall("".join(requests).encode())
        context.responses = read_responses(connection, PIPELINED)


@then("each response on the connection is the complete one of its own request")
def responses_in_order(context):
    # An entry may close early; what it sent must still be in order.
    assert context.responses, "no response"
    for number, (status, document) in enumerate(context.responses):
        assert status == 200, (number, status, document)
        found = (document["identity"], document["path"])
        expected = (context.identities[number], f"{LOOKUPS}/{number}")
        assert found == expected, (found, expected)


@when('a lookup is sent through entry "{name}"')
def send_lookup(context, name):
    address = context.deployment.entries[name].callers
    context.lookup_reply = exchange(
        address, "GET", f"{LOOKUPS}/1", seconds=CRASH_SEND_SECONDS
    )


@then("the last lookup is answered")
def lookup_answered(context):
    reply = context.lookup_reply
    assert reply.status == 200, (reply.status, reply.code)


@when("a caller resends a request that crashes its upstream through every entry")
def resend_crashing(context):
    damage(context)
    context.crash_replies = []
    for number in range(CRASH_SENDS):
        entries = context.deployment.live_entries
        entry = entries[number % len(entries)]
        with contextlib.suppress(OSError, http.client.HTTPException):
            reply = exchange(
                entry.callers,
                "GET",
                f"{LOOKUPS}/crash",
                headers={"Host": "quotes", CRASH_HEADER: "true"},
                seconds=CRASH_SEND_SECONDS,
            )
            context.crash_replies.append((reply.status, reply.code))


@then("it crashed at least 1 and at most 3 upstreams")
def few_crashes(context):
    crashed = [
        name
        for name, upstream in context.deployment.upstreams.items()
        if refuses_connections(upstream.address)
    ]
    print(f"  crashed: {crashed}; replies: {context.crash_replies}")
    assert 1 <= len(crashed) <= 3, crashed


@then('its last reply is "{outcome}"')
def last_crash_reply(context, outcome):
    status, code = context.crash_replies[-1]
    assert code == outcome, (status, code)


def refuses_connections(address):
    """Tell whether nothing listens on an address."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1.0).close()
    except ConnectionRefusedError:
        return True
    return False


def read_responses(connection, count):
    """Read responses until there are enough or the connection is closed.

    :returns: pairs of status and JSON document
    """
    responses, received = [], b""
    while len(responses) < count:
        head, separator, rest = received.partition(b"\r\n\r\n")
        length = int(LENGTH.search(head)[1]) if separator else 0
        if separator and len(rest) >= length:
            status = int(head.split(b" ", 2)[1])
            responses.append((status, orjson.loads(rest[:length])))
            received = rest[length:]
            continue
        part = connection.recv(65536)
        if not part:
            assert not received, f"part of a response: {received!r}"
            break
        received += part
    return responses
