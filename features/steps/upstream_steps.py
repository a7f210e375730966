"""Steps that switch the upstreams' faults and look at the work they got."""

from behave import given, then, when

from support.polling import now_ms


@given('upstream "{name}" marks its answers as draining')
@when('upstream "{name}" marks its answers as draining')
def drain(context, name):
    configure(context, name, draining=True)
    context.noticed = {**getattr(context, "noticed", {}), name: now_ms()}


@when('the VM list shows upstream "{name}" as leaving')
def list_leaving(context, name):
    context.deployment.list_upstream(name, leaving=True)
    context.noticed = {**getattr(context, "noticed", {}), name: now_ms()}


@when('upstream "{name}" becomes {factor:g} times slower')
def slow_down(context, name, factor):
    configure(context, name, slow_factor=factor)


@when('upstream "{name}" fails fast on every request')
def fail_fast(context, name):
    configure(context, name, fail_fast=True)


@given('upstream "{name}" sends half of its bodies truncated')
@when('upstream "{name}" sends half of its bodies truncated')
def truncate(context, name):
    configure(context, name, truncate=0.5)


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


@given("every upstream takes {milliseconds:g} ms for a request")
def service_time(context, milliseconds):
    for name in context.deployment.upstreams:
        configure(context, name, service_ms=milliseconds, service_sigma=0.0)


@when('the open connections of upstream "{name}" become silent')
def silence(context, name):
    context.deployment.damaged = True
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


@then('upstream "{name}" got work after the fault')
def work_after_fault(context, name):
    work = context.deployment.upstreams[name].work()
    assert any(run.started > context.fault_at for run in work), len(work)


def configure(context, name, **faults):
    """Switch faults of an upstream; its deployment is not reused."""
    context.deployment.damaged = True
    context.deployment.upstreams[name].configure(**faults)
