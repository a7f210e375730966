"""Steps of operators' edits and of the platform's faults."""

import secrets

from behave import given, then, when

from support.deployment import BOOKINGS
from support.edits import RevisionMonitor, edit, read_history, read_row
from support.http import exchange
from support.polling import wait_until
from support.stock import damage

# Requirement R7: in effect everywhere within 5 s at the current size.
EFFECT_SECONDS = 5.0
RECOVERY_SECONDS = 10.0
ACCEPTED = (200, 202)
ROUTE = BOOKINGS.strip("/")


@given("the revisions in effect are watched")
def watch_revisions(context):
    context.monitor = RevisionMonitor(deployment=context.deployment)


@given("the table service is down")
@when("the table service is down")
def store_down(context):
    context.deployment.set_faults("tables", outage=True)


@when("the table service takes {milliseconds:g} ms for each request")
def store_slow(context, milliseconds):
    context.deployment.set_faults("tables", slow_ms=milliseconds)


@when("the table service loses the response of the next {count:d} writes")
def lose_responses(context, count):
    context.deployment.set_faults("tables", lose_responses=count)


@when("reads of the table service lag behind by {count:d} revisions")
def stale_reads(context, count):
    context.deployment.set_faults("tables", stale=count)


@when("the platform recovers")
def platform_recovers(context):
    context.deployment.reset_faults()


@when('an operator changes the bookings route through entry "{name}"')
def change_route(context, name):
    entry = context.deployment.entries[name]
    row = read_row(entry, "routes", ROUTE)
    send_edit(context, entry, row)


@then('an operator can change the bookings route through entry "{name}" again')
def change_again(context, name):
    entry = context.deployment.entries[name]

    def accepted():
        change_route(context, name)
        return context.edit_reply.status in ACCEPTED

    wait_until(
        accepted, seconds=RECOVERY_SECONDS, what=f"edit accepted by {entry.name}"
    )
    change_accepted(context)


@then("the edit is accepted")
def change_accepted(context):
    reply = context.edit_reply
    assert reply.status in ACCEPTED, reply
    context.accepted_revision = reply.document["revision"]


@then("the edit is refused and changed nothing")
def change_refused(context):
    reply = context.edit_reply
    assert reply.status == 503, reply
    # Compared with the history after the recovery.
    context.refused_changes = [
        *getattr(context, "refused_changes", []),
        change_id(context),
    ]


@then("the edit is refused or of unknown result")
def change_not_accepted(context):
    assert context.edit_reply.status in (503, 504), context.edit_reply
    if context.edit_reply.status == 503:
        change_refused(context)


@then('the history at entry "{name}" holds no refused edit')
def refused_edits_absent(context, name):
    history = read_history(context.deployment.entries[name], "routes", ROUTE)
    found = {change["change_id"] for change in history}
    assert not found & set(context.refused_changes), (found, context.refused_changes)


@then('the history at entry "{name}" holds the edit exactly once')
def edit_once(context, name):
    history = read_history(context.deployment.entries[name], "routes", ROUTE)
    found = [c["change_id"] for c in history].count(change_id(context))
    assert found == 1, (found, history)


@then('a resend of the edit through entry "{name}" returns the first result')
def resend_edit(context, name):
    first = context.edit_reply.document
    entry = context.deployment.entries[name]
    reply = edit(
        entry,
        "routes",
        ROUTE,
        context.edit_row,
        version=context.edit_version,
        change_id=change_id(context),
    )
    assert reply.status in ACCEPTED, reply
    assert reply.document["revision"] == first["revision"], (reply.document, first)


@then("the edit is in effect at all live entries within 5 seconds")
def in_effect(context):
    # Waiting for the acceptance took part of the time already.
    wait_until(
        lambda: all(
            (entry.status() or {"revision": 0})["revision"] >= context.accepted_revision
            for entry in context.deployment.live_entries
        ),
        seconds=EFFECT_SECONDS,
        what=f"revision {context.accepted_revision} in effect",
    )


@then("no entry went back to an older revision")
def no_reversal(context):
    assert not context.monitor.reversals, context.monitor.reversals


@when('an operator adds a route "{name}" through entry "{entry}"')
def add_route(context, name, entry):
    damage(context)
    row = {
        "department": "sales",
        "pool": "desk",
        "match": {"path_prefix": f"/{name}"},
        "idempotent": True,
    }
    replies = [
        exchange(e.callers, "GET", f"/{name}/1").status
        for e in context.deployment.live_entries
    ]
    assert set(replies) == {404}, replies
    context.edit_reply = edit(
        context.deployment.entries[entry], "routes", name, row, version=0
    )


@then('every live entry serves the route "{name}" within 5 seconds')
def route_served(context, name):
    wait_until(
        lambda: all(
            exchange(entry.callers, "GET", f"/{name}/1").status == 200
            for entry in context.deployment.live_entries
        ),
        seconds=EFFECT_SECONDS,
        what=f"route {name} served by all entries",
    )


def change_id(context):
    """Return the id of the last edit."""
    return context.edit_id


def send_edit(context, entry, row):
    """Change the deadline of a route a little, under the version that was read."""
    content = row["row"]
    deadline_ms = 1500.0 + (content["deadline_ms"] + 1.0) % 100.0
    context.edit_row = {**content, "deadline_ms": deadline_ms}
    context.edit_version = row["version"]
    context.edit_id = secrets.token_hex(8)
    context.edit_reply = edit(
        entry,
        "routes",
        ROUTE,
        context.edit_row,
        version=context.edit_version,
        change_id=context.edit_id,
    )
    print(f"  edit: {context.edit_reply.status} {context.edit_reply.document['code']}")
