"""Steps of callers that use an entry for as long as discovery allows."""

import http.client
import time

from behave import then, when

from support.deployment import LOOKUPS
from support.http import exchange, read_document
from support.polling import now_ms, wait_until

DISCOVERY = "/.well-known/monsoonline/entries"
FOLLOW_SECONDS = 8.0
PAUSE_SECONDS = 0.02
LISTED_SECONDS = 5.0


@when('a caller learns of entry "{name}" from entry "{other}"')
def learn_entry(context, name, other):
    """Take the discovery answer before the stop, so that it cannot come too late."""
    used = context.deployment.entries[name].callers
    asked = context.deployment.entries[other].callers
    context.expires = wait_until(
        lambda: ask(asked, used),
        seconds=LISTED_SECONDS,
        what=f"discovery at {other} lists {name}",
    )


@when('a caller uses entry "{name}" while the responses of entry "{other}" allow it')
def follow_discovery(context, name, other):
    used = context.deployment.entries[name].callers
    asked = context.deployment.entries[other].callers
    kept = open_connection(used)
    context.uses, context.broken = 0, []
    expires = max(context.expires, ask(asked, used))
    end = time.monotonic() + FOLLOW_SECONDS
    while now_ms() < expires and time.monotonic() < end:
        use(context, "new", lambda: exchange(used, "GET", f"{LOOKUPS}/1").status)
        use(context, "kept", lambda: use_kept(kept))
        time.sleep(PAUSE_SECONDS)
        expires = max(expires, ask(asked, used))
    kept.close()
    print(f"  {context.uses} uses, broken: {context.broken[:3]}")


@then("none of its connections was refused or broken")
def none_broken(context):
    assert context.uses > 0, "discovery did not list the entry"
    assert not context.broken, context.broken[:3]


def open_connection(address):
    """Return a connection that is kept between requests."""
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=3.0)


def ask(asked, used):
    """Return the instant in ms until which a discovery response allows an address."""
    started = now_ms()
    document = read_document(asked, DISCOVERY)
    if document and used in [entry["address"] for entry in document["entries"]]:
        return started + document["lifetime_ms"]
    return 0.0


def use_kept(connection):
    """Send a lookup over the kept connection; return its status."""
    connection.request("GET", f"{LOOKUPS}/2")
    response = connection.getresponse()
    response.read()
    return response.status


def use(context, kind, send):
    """Count a use and note where it did not get an answer."""
    context.uses += 1
    try:
        status = send()
    except (OSError, http.client.HTTPException) as error:
        context.broken.append((kind, repr(error)))
        return
    if status != 200:
        context.broken.append((kind, status))
