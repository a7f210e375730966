"""Steps that send background load and account for it."""

import time

from behave import given, then, when

from support.accounting import account, refusal_codes
from support.load import Load

MINIMUM_CALLS = 50


@given("{callers:d} callers send lookups and bookings")
def start_load(context, callers):
    seeds = context.deployment.seeds
    context.load = Load(seeds=seeds, callers=callers, seed=context.seed)


@given("{callers:d} callers resend every booking through any entry")
def start_resending_load(context, callers):
    context.load = Load(
        seeds=context.deployment.seeds,
        callers=callers,
        seed=context.seed,
        resend_elsewhere=True,
    )


@given("the load runs for {seconds:g} seconds")
@when("the load runs for {seconds:g} seconds")
def run_load(context, seconds):
    time.sleep(seconds)


@when("the load stops")
def stop_load(context):
    context.calls = context.load.stop()
    context.deployment.wait_quiet()
    context.account = account(context.calls, runs_of(context))
    print(f"  {context.account}")
    print(f"  refusals: {refusal_codes(context.calls)}")
    assert len(context.calls) >= MINIMUM_CALLS, len(context.calls)


@then("no call is lost, doubled, partial, mismatched or wrongly reported as not run")
def no_violations(context):
    assert not context.account.violations, context.account


@then("every lookup is answered")
def lookups_answered(context):
    assert context.account.failed_lookups == 0, context.account


@then("every booking is answered")
def bookings_answered(context):
    unanswered = context.account.unknown_bookings + context.account.failed
    assert unanswered == 0, context.account


@then("at most {count:d} bookings stay unknown")
def few_unknown(context, count):
    assert context.account.unknown_bookings <= count, context.account


@then("some bookings stay unknown")
def some_unknown(context):
    assert context.account.unknown_bookings > 0, "the fault had no effect"


@then("some requests passed their deadline at the upstreams")
def some_late(context):
    # The entry closes the connection at the deadline, which ends the run.
    late = [run for run in runs_of(context) if not run.completed]
    assert late, "the fault had no effect"


def runs_of(context):
    """Return the runs of all upstreams since the scenario began."""
    return [
        run
        for name, upstream in context.deployment.upstreams.items()
        for run in upstream.runs()[context.first_runs[name] :]
    ]
