"""Tests of placement, with simulations of the load patterns it is designed for."""

import random
import unittest

from monsoonline.core.overload import OverloadDetector
from monsoonline.core.placement import (
    ProbeResult,
    ServiceTimeEstimate,
    SlotAllowance,
    UpstreamSearch,
    choose_probe_result,
    expected_ms,
    has_free_slot,
    is_acceptable,
)
from monsoonline.core.upstream_view import UpstreamView
from monsoonline.types import LoadReport
from tests.core.test_registrations import registration

SLOT_ALLOWANCE = SlotAllowance()
# Targets stop work on a request at this time after its arrival.
DEADLINE_MS = 1_000.0


class Target:
    """A simulated upstream with slots, on a shared machine.

    :param slow_share: share of the time in which the machine is slow
    :param slow: slowdown while it is slow
    :param full_factor: additional slowdown when the upstream is nearly full
    """

    def __init__(
        self, generator, *, slots=4, slow_share=0.35, slow=7.0, full_factor=1.7
    ):
        self._generator = generator
        self._slow_share = slow_share
        self._slow = slow
        self._full_factor = full_factor
        self._until = 0.0
        self._slowdown = 1.0
        self.slots = slots
        # Start and end of each request at the target.
        self._requests = []

    def slowdown(self, now):
        """Return the slowdown, which lasts for half a second on average."""
        while now >= self._until:
            self._until += self._generator.expovariate(1 / 500.0)
            is_slow = self._generator.random() < self._slow_share
            self._slowdown = self._slow if is_slow else 1.0
        return self._slowdown

    def report(self, now):
        here = [(begin, end) for begin, end in self._requests if end > now]
        self._requests = here
        running = sum(begin <= now for begin, _ in here)
        return LoadReport(
            in_flight=running,
            queued=len(here) - running,
            slots=self.slots,
            pace=self.slowdown(now),
        )

    def start(self, now, service_time_ms):
        """Start a request; return its latency including the time in the queue."""
        report = self.report(now)
        begin = now
        if report.in_flight + report.queued >= self.slots:
            ends = sorted(end for _, end in self._requests)
            begin = ends[-self.slots]
        full = report.in_flight + 1 > 0.8 * self.slots
        taken_ms = service_time_ms * report.pace * (self._full_factor if full else 1.0)
        end = min(begin + taken_ms, now + DEADLINE_MS)
        self._requests.append((begin, end))
        return begin + taken_ms - now


def replay(place, *, rate, seconds=12.0, objective_ms=400.0, targets=28, seed=1):
    """Return the share of requests that meet their latency objective.

    :param place: function of the view, the targets by instance, the time and a random
        generator that returns an instance, or ``None`` to refuse the request
    :param rate: requests per second
    """
    generator = random.Random(seed)
    view = UpstreamView(failure_domain="a", generator=generator)
    view.update([registration(f"i{n}", slots=4) for n in range(targets)])
    machines = {i: Target(generator) for i in view.states}
    now, total, on_time = 0.0, 0, 0
    while now < seconds * 1e3:
        now += generator.expovariate(rate / 1e3)
        total += 1
        instance = place(view, machines, now, generator)
        if instance is not None:
            service_time_ms = min(960.0, 160.0 * generator.lognormvariate(0.0, 0.3))
            on_time += machines[instance].start(now, service_time_ms) <= objective_ms
    return on_time / total


def probe(view, machines, instance, now):
    state = view.states[instance]
    report = machines[instance].report(now)
    view.record_report(state, report, now)
    return ProbeResult(
        state=state, report=report, slowdown=view.slowdown_of(state, now)
    )


def place_by_two_probes(view, machines, now, generator):
    """Baseline policy: the better of two random upstreams, with one probe each."""
    chosen = generator.sample(sorted(machines), 2)
    results = [probe(view, machines, instance, now) for instance in chosen]
    best = choose_probe_result(results, 160.0, SLOT_ALLOWANCE, now=now)
    return best.state.registration.instance


def place_by_search(allowance, *, limit_ms=DEADLINE_MS):
    """Return the policy that searches in rounds of probes.

    :param allowance: the slot allowance of each request
    :param limit_ms: longest expected time of a request that is sent without a free slot
    """

    def place(view, machines, now, generator):
        local, remote = view.candidates(now)
        search = UpstreamSearch(local=local, remote=remote, allowance=allowance)
        best = None
        while states := search.next_states(best):
            search.add(
                probe(view, machines, state.registration.instance, now)
                for state in states
            )
            best = search.best(160.0, now=now)
            if is_acceptable(best, allowance):
                break
        best_ms = expected_ms(best, 160.0, allowance, now=now)
        if best_ms > (
            0.8 * DEADLINE_MS if has_free_slot(best, allowance) else limit_ms
        ):
            return None
        return best.state.registration.instance

    return place


class TestReplays(unittest.TestCase):
    """Guards against results that are no better than those of simpler policies."""

    def test_noisy_machines_at_half_load(self):
        """A third of the machines is seven times slower for half a second each."""
        baseline = replay(place_by_two_probes, rate=190.0)
        result = replay(place_by_search(SLOT_ALLOWANCE), rate=190.0)
        self.assertGreater(
            result, 0.95, f"baseline {baseline:.3f}, search {result:.3f}"
        )
        self.assertGreater(result, baseline)

    def test_burst_that_exceeds_the_slots(self):
        """Requests that will be late take slots from requests that would be on time.

        The baseline sends all requests that can be answered before the deadline, and
        uses the last slot of an upstream like the others.
        """
        for rate in (300.0, 420.0, 600.0):
            baseline = replay(
                place_by_search(SlotAllowance(), limit_ms=0.8 * DEADLINE_MS),
                rate=rate,
            )
            result = replay(
                place_by_search(
                    SlotAllowance(usable_share=0.75, full_factor=1.7), limit_ms=400.0
                ),
                rate=rate,
            )
            with self.subTest(rate=rate):
                text = f"baseline {baseline:.3f}, search {result:.3f}"
                self.assertGreater(result, 1.05 * baseline, text)


class TestProbeResults(unittest.TestCase):
    """Guards against a wrong order of probe results."""

    def setUp(self):
        self.view = UpstreamView(failure_domain="a")
        self.view.update([registration("i1"), registration("i2")])

    def result(self, instance="i1", *, running=0, slots=3, **changes):
        report = LoadReport(in_flight=running, slots=slots)
        return ProbeResult(state=self.view.states[instance], report=report, **changes)

    def test_queue_and_slowdown_raise_the_expected_time(self):
        idle = expected_ms(self.result(), 100.0, SLOT_ALLOWANCE, now=0.0)
        slow = expected_ms(self.result(slowdown=3.0), 100.0, SLOT_ALLOWANCE, now=0.0)
        full = expected_ms(self.result(running=4), 100.0, SLOT_ALLOWANCE, now=0.0)
        self.assertEqual(idle, 100.0)
        self.assertEqual(slow, 300.0)
        self.assertGreater(full, 150.0)

    def test_requests_in_flight_count(self):
        """Two tasks that probe at once would take the same last slot."""
        result = self.result(running=0)
        result.state.in_flight = 3
        self.assertFalse(has_free_slot(result, SLOT_ALLOWANCE))

    def test_free_slot_is_preferred_to_a_faster_full_upstream(self):
        full = self.result("i1", running=3, slowdown=1.0)
        free = self.result("i2", slowdown=2.0)
        self.assertIs(
            choose_probe_result([full, free], 100.0, SLOT_ALLOWANCE, now=0.0), free
        )

    def test_slow_or_unhealthy_upstream_is_not_acceptable(self):
        self.assertTrue(is_acceptable(self.result(), SLOT_ALLOWANCE))
        self.assertFalse(is_acceptable(self.result(slowdown=2.0), SLOT_ALLOWANCE))
        self.assertFalse(is_acceptable(self.result(healthy=False), SLOT_ALLOWANCE))

    def test_reserved_slots_are_not_free(self):
        detector = OverloadDetector()
        for _ in range(30):
            detector.record_search(False)
            detector.observe(1.0, used_share=0.5)
            detector.observe(1.0, used_share=1.0)
        lookup = detector.slot_allowance(urgent=False)
        booking = detector.slot_allowance(urgent=True)
        result = self.result(running=2)
        self.assertFalse(has_free_slot(result, lookup))
        self.assertTrue(has_free_slot(result, booking))


class TestUpstreamSearch(unittest.TestCase):
    """Guards against a search that ends before better upstreams are probed."""

    def setUp(self):
        self.view = UpstreamView(failure_domain="a")
        self.view.update(
            [registration(f"i{n}") for n in range(6)]
            + [registration(f"i{n}", failure_domain="b") for n in range(10, 16)]
        )
        local, remote = self.view.candidates(0.0)
        self.search = UpstreamSearch(
            local=local, remote=remote, allowance=SLOT_ALLOWANCE
        )

    def result(self, state, **changes):
        report = LoadReport(in_flight=0, slots=3)
        return ProbeResult(state=state, report=report, **changes)

    def test_promising_upstream_is_probed_again(self):
        first = self.search.next_states(None)
        best = self.result(first[0], slowdown=1.8)
        self.search.add([best])
        self.assertIs(self.search.next_states(best)[0], first[0])

    def test_slow_local_upstreams_lead_to_other_domains(self):
        best, domains = None, set()
        while states := self.search.next_states(best):
            domains.update(s.registration.failure_domain for s in states)
            self.search.add(self.result(s, slowdown=7.0) for s in states)
            best = self.search.best(100.0, now=0.0)
        self.assertEqual(domains, {"a", "b"})


class TestServiceTimeEstimate(unittest.TestCase):
    """Guards against estimates that refuse or misplace requests."""

    def test_unmeasured_route_is_assumed_to_be_fast(self):
        """Requests on new routes were refused when their time was overestimated."""
        self.assertLess(ServiceTimeEstimate(objective_ms=400.0).value, 50.0)

    def test_outliers_have_little_weight(self):
        estimate = ServiceTimeEstimate(objective_ms=400.0)
        for number in range(200):
            estimate.observe(1_120.0 if number % 10 == 0 else 160.0, slowdown=1.0)
        self.assertLess(estimate.value, 1.35 * 160.0)
