"""Steps of single bookings whose key is sent through several entries."""

import concurrent.futures
import http.client

from behave import given, then, when

from support.deployment import BOOKINGS
from support.http import exchange
from support.load import IDENTITY_HEADER
from support.polling import wait_until

# One name for all entries, since a resend must be the same request.
HOST = "bookings"
RESENDS = 8
HANDOVER_SECONDS = 5.0


@given('a booking with a key of entry "{name}"')
def make_booking(context, name):
    token = context.deployment.entries[name].token()
    context.booking = f"booking-{context.seed}"
    context.key = f"{token}.{context.seed}"
    context.replies = []


@when('the booking is sent through entry "{name}"')
def send_booking(context, name):
    context.replies.append((name, send(context, name)))


@when('the booking is sent through entry "{name}" until the key is known')
def send_until_known(context, name):
    # The records' new place comes by gossip; until then the reply is unknown.
    def known():
        send_booking(context, name)
        reply = context.replies[-1][1]
        return reply is not None and reply.code != "key-owner-unreachable"

    wait_until(known, seconds=HANDOVER_SECONDS, what="records of the stopped entry")


@when("the booking is sent through all entries at once, several times")
def send_everywhere(context):
    names = [entry.name for entry in context.deployment.live_entries] * RESENDS
    with concurrent.futures.ThreadPoolExecutor(len(names)) as executor:
        replies = list(executor.map(lambda name: send(context, name), names))
    context.replies += list(zip(names, replies, strict=True))


@then("the booking ran exactly once")
def ran_once(context):
    context.deployment.wait_quiet()
    assert len(runs_of_booking(context)) == 1, runs_of_booking(context)


@then("the booking did not run")
def did_not_run(context):
    context.deployment.wait_quiet()
    assert not runs_of_booking(context), runs_of_booking(context)


@then("the booking ran at most once, and not at all where a reply said so")
def ran_at_most_once(context):
    context.deployment.wait_quiet()
    runs = runs_of_booking(context)
    outcomes = [(name, outcome_of(reply)) for name, reply in context.replies]
    print(f"  {len(runs)} runs; replies: {outcomes}")
    assert len(runs) <= 1, runs
    assert not runs or all(o[0] != "not-run" for _, o in outcomes), outcomes


@then('entry "{name}" replied with the answer of the upstream')
def replied_answer(context, name):
    replies = [reply for sender, reply in context.replies if sender == name]
    assert any(is_answer(context, reply) for reply in replies), replies


@then("some reply is the answer of the upstream")
def some_answer(context):
    replies = [reply for _, reply in context.replies]
    assert any(is_answer(context, reply) for reply in replies), replies


@then('the last reply is "{outcome}"')
def last_reply(context, outcome):
    _, reply = context.replies[-1]
    assert reply is not None, "no reply"
    assert reply.outcome == outcome, reply


def send(context, name):
    """Send the booking; return the reply, ``None`` without a complete one."""
    headers = {
        "Host": HOST,
        "Monsoonline-Key": context.key,
        IDENTITY_HEADER: context.booking,
    }
    address = context.deployment.entries[name].callers
    try:
        return exchange(address, "POST", BOOKINGS, headers=headers, body=b"{}")
    except (OSError, http.client.HTTPException):
        return None


def runs_of_booking(context):
    """Return the booking's runs at all upstreams."""
    return [
        run
        for upstream in context.deployment.upstreams.values()
        for run in upstream.work()
        if run.identity == context.booking
    ]


def outcome_of(reply):
    """Return outcome and code of a reply for messages."""
    return (reply.outcome, reply.code) if reply else ("no reply", "")


def is_answer(context, reply):
    """Tell whether a reply is the upstream's answer to this booking."""
    if reply is None or reply.status != 200 or reply.outcome:
        return False
    return reply.document["identity"] == context.booking
