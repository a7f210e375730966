"""Steps that switch the upstreams' faults and look at the work they got."""

import concurrent.futures
import contextlib
import http.client
import threading

from behave import given, then, when

from support.accounting import kind_of
from support.http import exchange
from support.polling import now_ms
from support.stock import damage
from support.upstreams import NEIGHBOUR_TARGET

# Requests of a noisy neighbour at one upstream, of which each takes a slot.
NEIGHBOUR_REQUESTS = 2


@given('upstream "{name}" marks its answers as draining')
@when('upstream "{name}" marks its answers as draining')
def drain(context, name):
    damage(context)
    configure(context, name, draining=True)
    context.noticed[name] = now_ms()


@when('the VM list shows upstream "{name}" as leaving')
def list_leaving(context, name):
    damage(context)
    context.deployment.list_upstream(name, leaving=True)
    context.noticed[name] = now_ms()


@when('upstream "{name}" becomes {factor:g} times slower')
def slow_down(context, name, factor):
    damage(context)
    configure(context, name, slow_factor=factor)
    context.fault_at = now_ms()


@when('upstream "{name}" fails fast on every request')
def fail_fast(context, name):
    damage(context)
    configure(context, name, fail_fast=True)
    context.fault_at = now_ms()


@given('upstream "{name}" sends half of its bodies truncated')
@when('upstream "{name}" sends half of its bodies truncated')
def truncate(context, name):
    configure(context, name, truncate=0.5)


@given("every upstream sends a fifth of its bodies truncated")
def truncate_some(context):
    truncate_everywhere(context, 0.2)


@given("every upstream sends all of its bodies truncated")
def truncate_all(context):
    truncate_everywhere(context, 1.0)


@when("the upstreams recover")
def upstreams_recover(context):
    context.deployment.reset_upstreams()


@given("every upstream sends each answer twice")
def repeat(context):
    for name in context.deployment.upstreams:
        configure(context, name, repeat=1.0)


@given('upstream "{name}" refuses without a certificate after it ran the request')
def refuse_after_run(context, name):
    configure(context, name, bare_refusals=True, run_before_refusal=True)


@given("every upstream takes {milliseconds:g} ms and sheds what finds no slot")
def shed(context, milliseconds):
    for name in context.deployment.upstreams:
        configure(context, name, service_ms=milliseconds, queue_limit=0)


@given("a neighbour sends requests to every upstream itself")
def start_neighbour(context):
    stopping = threading.Event()
    executor = concurrent.futures.ThreadPoolExecutor()
    for upstream in context.deployment.upstreams.values():
        for _ in range(NEIGHBOUR_REQUESTS):
            executor.submit(send_repeatedly, upstream.address, stopping)
    context.add_cleanup(executor.shutdown)
    context.add_cleanup(stopping.set)


@given("every upstream takes {milliseconds:g} ms for a request")
def service_time(context, milliseconds):
    for name in context.deployment.upstreams:
        configure(context, name, service_ms=milliseconds, service_sigma=0.0)


@given("every upstream takes from 1 ms to several seconds")
def spread_service_time(context):
    # A log-normal time of which one in ten passes the route's deadline.
    for name in context.deployment.upstreams:
        configure(context, name, service_ms=120.0, service_sigma=2.0)


@when('the open connections of upstream "{name}" become silent')
def silence(context, name):
    damage(context)
    context.deployment.upstreams[name].command("silence")
    context.fault_at = now_ms()


@when('the connections of upstream "{name}" are cut')
def cut(context, name):
    context.deployment.upstreams[name].command("cut")


@then('upstream "{name}" got no new work later than {seconds:g} s after its notice')
def no_late_work(context, name, seconds):
    notice = context.noticed[name]
    work = context.deployment.upstreams[name].work()
    late = [run for run in work if run.started > notice + seconds * 1e3]
    assert not late, late[:3]
    # Without work before the notice, and elsewhere after it, this would prove nothing.
    assert any(run.started < notice for run in work), "no work before the notice"
    others = [u for n, u in context.deployment.upstreams.items() if n != name]
    elsewhere = [run for upstream in others for run in upstream.work()]
    assert any(run.started > notice + seconds * 1e3 for run in elsewhere), (
        "the load ended before the bound"
    )


@then('upstream "{name}" got work')
def got_work(context, name):
    assert context.deployment.upstreams[name].work(), "the fault had no effect"


@then('upstream "{name}" got work after the fault')
def work_after_fault(context, name):
    work = context.deployment.upstreams[name].work()
    assert any(run.started > context.fault_at for run in work), len(work)


@then('upstream "{name}" got less than half its equal share from {seconds:g} s on')
def small_share(context, name, seconds):
    begin = context.fault_at + seconds * 1e3
    counts = {
        upstream.name: sum(run.started > begin for run in upstream.work())
        for upstream in context.deployment.upstreams.values()
    }
    print(f"  work from {seconds} s after the fault: {counts}")
    share = counts[name] / sum(counts.values())
    assert share < 0.5 / len(counts), (share, counts)


@then("under {percent:g} % of the calls from {seconds:g} s on were failing answers")
def few_failing(context, percent, seconds):
    begin = context.fault_at + seconds * 1e3
    later = [call for call in context.calls if call.started > begin]
    failed = sum(kind_of(call) == "failed" for call in later)
    print(f"  {failed} of {len(later)} calls failed from {seconds} s after the fault")
    assert later, "the load ended too early"
    assert failed < percent / 100.0 * len(later), (failed, len(later))


@then('upstream "{name}" was asked while it failed')
def asked_while_failing(context, name):
    assert context.deployment.upstreams[name].counts().get("failed", 0) > 0


@then("the upstreams shed requests")
def have_shed(context):
    upstreams = context.deployment.upstreams.values()
    counts = [upstream.counts().get("shed", 0) for upstream in upstreams]
    print(f"  shed: {counts}")
    assert sum(counts) > 0, "the fault had no effect"


def truncate_everywhere(context, share):
    """Truncate bodies at all upstreams."""
    # Entries remember requests that lost two connections for 10 minutes.
    damage(context)
    for name in context.deployment.upstreams:
        configure(context, name, truncate=share)


def send_repeatedly(address, stopping):
    """Occupy a slot of an upstream until an event is set."""
    while not stopping.wait(0.005):
        with contextlib.suppress(OSError, http.client.HTTPException):
            exchange(address, "GET", NEIGHBOUR_TARGET)


def configure(context, name, **faults):
    """Switch faults of an upstream until the scenario ends."""
    context.deployment.upstreams[name].configure(**faults)
