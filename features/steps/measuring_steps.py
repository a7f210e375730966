"""Steps of the measuring budget, counted at the upstreams."""

from behave import then, when

from support.accounting import largest_probe_rate
from support.deployment import PROBES_PER_SECOND
from support.polling import now_ms, wait_until
from support.upstreams import PROBE_TARGET

# Entries wait 10 s before they probe an upstream for the first time.
FIRST_PROBE_SECONDS = 25.0


@when("every upstream was probed")
def wait_probed(context):
    wait_until(
        lambda: all(probes_of(u) for u in context.deployment.upstreams.values()),
        seconds=FIRST_PROBE_SECONDS,
        what="a probe of every upstream",
    )
    context.probed_at = now_ms()


@then("probing has gone on")
def probed_since(context):
    # An entry that has just started or lost a member waits before it probes, so the
    # next probe may come only after the stop.
    wait_until(
        lambda: any(
            probe.started > context.probed_at
            for upstream in context.deployment.upstreams.values()
            for probe in probes_of(upstream)
        ),
        seconds=FIRST_PROBE_SECONDS,
        what="a probe since the first ones, without which the limit proves nothing",
    )


@then("no upstream had more probes in any second than its budget allows")
def within_budget(context):
    rates = {
        name: largest_probe_rate(probes_of(upstream))
        for name, upstream in context.deployment.upstreams.items()
    }
    print(f"  largest number of probes in a second: {rates}")
    assert max(rates.values()) <= PROBES_PER_SECOND, rates


def probes_of(upstream):
    """Return the probes among an upstream's runs."""
    return [run for run in upstream.runs() if run.target == PROBE_TARGET]
