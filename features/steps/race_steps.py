"""Steps of operators who edit at the same moment."""

import concurrent.futures
import dataclasses
import http.client
import random

from behave import then, when

from support.edits import edit, read_history, read_row
from support.http import exchange
from support.polling import wait_until

EDITS = 8
ROUTES = ("quotes", "surveys")
EDIT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One edit of a racing operator.

    :param change_id: names the edit
    :param route: row that it changes
    :param status: HTTP status, 0 when no response came
    """

    change_id: str
    route: str
    status: int


@when("{operators:d} operators race to edit the routes through all entries")
def race(context, operators):
    with concurrent.futures.ThreadPoolExecutor(operators) as executor:
        tasks = [executor.submit(operate, context, n) for n in range(operators)]
        context.attempts = [a for t in tasks for a in t.result(EDIT_SECONDS)]
    statuses = sorted(attempt.status for attempt in context.attempts)
    print(f"  edits: { {s: statuses.count(s) for s in statuses} }")


@then("the histories hold exactly the accepted edits, each over the one before")
def histories(context):
    entry = context.deployment.live_entries[0]
    for route in ROUTES:
        history = wait_until(
            lambda route=route: read_history_if_possible(entry, route),
            seconds=10,
            what="history",
        )
        check_history(context, route, history)


@then("an operator of another department cannot change the route")
def other_department(context):
    entry = context.deployment.live_entries[0]
    row = read_row(entry, "routes", ROUTES[0])
    reply = edit(
        entry,
        "routes",
        ROUTES[0],
        row["row"],
        version=row["version"],
        department="freight",
    )
    assert reply.status == 403, reply


@then("all entries serve the rows of the last edits within 5 seconds")
def last_edits_in_effect(context):
    entry = context.deployment.live_entries[0]
    revision = max(
        c["revision"] for r in ROUTES for c in read_history(entry, "routes", r)
    )
    wait_until(
        lambda: all(
            (e.status() or {"revision": 0})["revision"] >= revision
            for e in context.deployment.live_entries
        ),
        seconds=5.0,
        what=f"revision {revision} in effect",
    )


def operate(context, number):
    """Edit one route after another; return the :class:`Attempt` tuples."""
    generator = random.Random(f"{context.seed}/{number}")
    attempts = []
    for count in range(EDITS):
        entry = generator.choice(context.deployment.live_entries)
        route = generator.choice(ROUTES)
        change_id = f"race-{context.seed}-{number}-{count}"
        try:
            row = read_row(entry, "routes", route)
            content = {**row["row"], "deadline_ms": 1400.0 + generator.randrange(200)}
            reply = edit(
                entry,
                "routes",
                route,
                content,
                version=row["version"],
                change_id=change_id,
            )
            status = reply.status
        except AssertionError:
            # The row could not be read, so no edit was sent.
            continue
        except (OSError, http.client.HTTPException):
            status = 0
        attempts.append(Attempt(change_id=change_id, route=route, status=status))
    return attempts


def read_history_if_possible(entry, route):
    """Return the history, ``None`` while the entry serves too many requests."""
    target = f"/v1/routes/{route}/history"
    headers = {"Authorization": "Bearer token-of-sales"}
    reply = exchange(entry.operations, "GET", target, headers=headers)
    return reply.document["changes"] if reply.status == 200 else None


def check_history(context, route, history):
    """Compare a row's history with what the operators were told."""
    prefix = f"race-{context.seed}-"
    own = [c["change_id"] for c in history if c["change_id"].startswith(prefix)]
    attempts = [a for a in context.attempts if a.route == route]
    accepted = {a.change_id for a in attempts if a.status in (200, 202)}
    uncertain = {a.change_id for a in attempts if a.status in (0, 504)}
    assert len(own) == len(set(own)), "an edit was applied twice"
    assert accepted <= set(own), accepted - set(own)
    assert set(own) <= accepted | uncertain, set(own) - accepted - uncertain
    assert accepted, "no edit was accepted"
    for before, after in zip(history, history[1:], strict=False):
        assert after["revision"] > before["revision"], (before, after)
        assert after["version_before"] == before["version_after"], (before, after)
