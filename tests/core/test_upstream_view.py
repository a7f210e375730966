"""Tests of the state and ranking of upstreams."""

import random
import unittest

from monsoonline.core.fleet_messages import LoadNotice, UpstreamLoad
from monsoonline.core.upstream_view import FAILURE_HALF_LIFE_MS, UpstreamView
from monsoonline.types import AttemptKind, LoadReport
from tests.core.test_registrations import registration


def view_of(*registrations):
    view = UpstreamView(failure_domain="a", generator=random.Random(1))
    view.update(registrations)
    return view


def report(*, pace=1.0, in_flight=0):
    return LoadReport(in_flight=in_flight, queued=0, slots=4, pace=pace)


def instances(states):
    return [state.registration.instance for state in states]


class TestUpstreamView(unittest.TestCase):
    """Guards against a wrong selection and order of upstreams to probe."""

    def test_leaving_misdirected_and_excluded_upstreams_are_not_used(self):
        view = view_of(*(registration(f"i{n}") for n in range(1, 5)))
        view.update(
            [registration("i1", leaving=True)]
            + [registration(f"i{n}") for n in range(2, 5)]
        )
        view.states["i2"].misdirected = True
        self.assertEqual(instances(view.usable({"i3"})), ["i4"])

    def test_restarted_upstream_starts_with_a_new_state(self):
        view = view_of(registration("i1", born_ms=1))
        view.states["i1"].misdirected = True
        view.update([registration("i1", born_ms=2)])
        self.assertFalse(view.states["i1"].misdirected)

    def test_failing_upstream_is_last_until_its_failures_decay(self):
        view = view_of(*(registration(f"i{n}") for n in range(1, 5)))
        for _ in range(3):
            view.record_result(view.states["i1"], AttemptKind.CONNECTION_LOST, 0.0)
        local, remote = view.candidates(0.0)
        self.assertNotIn("i1", instances(local))
        self.assertEqual(instances(remote), ["i1"])
        local, _ = view.candidates(3 * FAILURE_HALF_LIFE_MS)
        self.assertIn("i1", instances(local))

    def test_remote_upstream_precedes_local_ones_known_to_be_slow(self):
        """Requests were sent to slow local upstreams while remote ones were idle."""
        local = [registration(f"n{n}") for n in range(3)]
        remote = [registration(f"f{n}", failure_domain="b") for n in range(3)]
        view = view_of(*local, *remote)
        for number in range(20):
            now = 20.0 * number
            view.record_report(view.states["n0"], report(pace=1.0), now)
            view.record_report(view.states["n1"], report(pace=7.0), now)
            view.record_report(view.states["n2"], report(pace=7.0), now)
        first, others = view.candidates(400.0)
        self.assertEqual(instances(first), ["n0"])
        self.assertEqual({i[0] for i in instances(others)[:3]}, {"f"})

    def test_local_upstreams_are_first_without_reports(self):
        view = view_of(registration("n0"), registration("f0", failure_domain="b"))
        first, others = view.candidates(0.0)
        self.assertEqual((instances(first), instances(others)), (["n0"], ["f0"]))

    def test_pool_stays_usable_if_all_upstreams_fail(self):
        """A faulty route must not make a whole pool unusable."""
        view = view_of(*(registration(f"i{n}") for n in range(1, 5)))
        for state in view.states.values():
            view.record_result(state, AttemptKind.CONNECT_FAILED, 0.0)
        local, _ = view.candidates(0.0)
        self.assertEqual(len(local), 4)

    def test_failures_observed_by_other_entries_count(self):
        """Each entry uses a failing upstream too rarely to detect it alone."""
        view = view_of(*(registration(f"i{n}") for n in range(1, 5)))
        for at in range(3):
            view.add_peer_failure("i1", 1.0, float(at))
        local, _ = view.candidates(3.0)
        self.assertNotIn("i1", instances(local))

    def test_own_failure_domain_is_probed_first(self):
        view = view_of(
            registration("i1", failure_domain="b"),
            registration("i2"),
            registration("i3"),
        )
        local, remote = view.candidates(0.0)
        self.assertEqual(set(instances(local)), {"i2", "i3"})
        self.assertEqual(instances(remote), ["i1"])

    def test_load_notices_change_the_probe_order(self):
        view = view_of(*(registration(f"i{n}") for n in range(1, 4)))
        slow = LoadReport(in_flight=0, slots=3, pace=7.0)
        full = LoadReport(in_flight=2, slots=3)
        view.apply_load_notice(
            LoadNotice(
                sender="b",
                loads=(
                    UpstreamLoad(instance="i1", report=slow),
                    UpstreamLoad(instance="i2", report=full),
                    UpstreamLoad(instance="gone", report=full),
                ),
                chosen="i2",
            ),
            0.0,
        )
        local, _ = view.candidates(1.0)
        self.assertEqual(instances(local)[0], "i3")
        # Includes the request that the other entry has just sent.
        self.assertEqual(view.states["i2"].report.in_flight, 3)
