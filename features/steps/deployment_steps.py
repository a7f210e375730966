"""Steps that start, end, pause and replace processes."""

from behave import given, then, when

from support.polling import now_ms, wait_until
from support.stock import damage

STOP_SECONDS = 14.0


@given("a deployment of {entries:d} entries and {upstreams:d} upstreams")
def take_deployment(context, entries, upstreams):
    context.deployment = context.stock.take(entries, upstreams)
    context.first_runs = {
        name: len(upstream.runs())
        for name, upstream in context.deployment.upstreams.items()
    }


@when('entry "{name}" is killed')
def kill_entry(context, name):
    damage(context)
    context.deployment.entries[name].kill()


@when('entry "{name}" is paused')
def pause_entry(context, name):
    damage(context)
    context.deployment.entries[name].pause()


@when('entry "{name}" resumes')
def resume_entry(context, name):
    context.deployment.entries[name].resume()


@when('entry "{name}" is told to stop')
def stop_entry(context, name):
    damage(context)
    context.deployment.entries[name].terminate()


@when("one more entry is started")
def start_entry(context):
    damage(context)
    context.new_entry = context.deployment.start_entry()


@then("the new entry becomes ready within {seconds:d} seconds")
def new_entry_ready(context, seconds):
    wait_until(context.new_entry.ready, seconds=seconds, what="new entry ready")


@then('entry "{name}" exits gracefully without an interrupted request')
def exits_gracefully(context, name):
    entry = context.deployment.entries[name]
    wait_until(lambda: not entry.running, seconds=STOP_SECONDS, what=f"{name} exits")
    report = entry.lines()[-1]
    print(f"  {name} stopped: {report}")
    assert (entry.exit_code, report["cut"]) == (0, 0), (entry.exit_code, report)
    assert not report["shortened"], report


@when('upstream "{name}" is killed')
def kill_upstream(context, name):
    damage(context)
    context.deployment.upstreams[name].kill()
    context.fault_at = now_ms()
