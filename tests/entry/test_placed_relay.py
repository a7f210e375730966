"""Tests of the request path against targets on loopback."""

import socket
import time
import unittest
from unittest import mock

from monsoonline.adapters.cancellation import Cancellation
from monsoonline.adapters.upstream_sessions import SessionPool
from monsoonline.clock import SystemClock
from monsoonline.core.crashes import CrashTracker
from monsoonline.core.model import (
    Pool,
    PoolShare,
    ProbeBudget,
    Route,
    RouteMatch,
    SuccessDefinition,
    Tables,
    Tolerance,
)
from monsoonline.core.placement import ProbeResult, UpstreamSearch
from monsoonline.core.registrations import Registration
from monsoonline.core.retry_budget import RetryLimits
from monsoonline.entry.placed_relay import PlacedRelay
from monsoonline.errors import Refusal
from monsoonline.metrics import Metrics
from monsoonline.types import LoadReport, Outcome, Request
from tests.adapters.scripted_upstream import Reply
from tests.entry.target_fixture import (
    HEALTH_PATH,
    NAMES,
    Target,
    header_of,
    parse_load,
)

GOAL_MS = 300.0
LIMITS = RetryLimits(ratio=0.2, slack=100.0, window_ms=10_000.0)


def route(name="read", *, idempotent=True, **changes):
    fields = {
        "department": "d",
        "pool": "p",
        "match": RouteMatch(path_prefix=f"/{name}/"),
        "deadline_ms": 600.0,
        "tolerance": Tolerance(retries=1),
        "success": SuccessDefinition(latency_ms=GOAL_MS),
    }
    return Route(name=name, idempotent=idempotent, **(fields | changes))


class RelayTest(unittest.TestCase):
    """Base: a relay with two routes to one pool of targets."""

    def relay_to(self, *targets, routes=None, shared=None):
        clock = SystemClock()
        self.failures = []
        relay = PlacedRelay(
            clock=clock,
            names=NAMES,
            parse_load=parse_load,
            sessions=SessionPool(clock=clock, names=NAMES),
            budget=LIMITS,
            probes_per_second=1_000.0,
            failure_domain="a",
            entries=lambda: 1,
            crashes=CrashTracker(clock=clock, owner="e"),
            on_failure=lambda instance, weight: self.failures.append(instance),
            on_loads=lambda loads, chosen: None,
            metrics=Metrics(),
        )
        routes = routes or (route(), route("book", idempotent=False))
        pool = Pool(
            name="p",
            department="d",
            upstreams=(),
            measuring=ProbeBudget(path=HEALTH_PATH),
        )
        relay.use_tables(
            Tables(revision=1, routes={r.name: r for r in routes}, pools={"p": pool})
        )
        self.register(relay, *targets)
        for target in targets:
            self.addCleanup(target.close)
        return relay

    @staticmethod
    def register(relay, *targets, **changes):
        relay.use_registrations(
            {
                t.instance: Registration(
                    instance=t.instance,
                    pool="p",
                    address=t.address,
                    failure_domain="a",
                    slots=3,
                    **changes,
                )
                for t in targets
            }
        )

    @staticmethod
    def request(path="/read/1", *, method="GET", headers=(), **changes):
        pairs = ((NAMES.request_id, "r1"), *headers)
        return Request(
            method=method, host="shop", target=path, headers=pairs, **changes
        )

    def refused(self, relay, request):
        with self.assertRaises(Refusal) as caught:
            relay.handle(request)
        return caught.exception


class TestAnswers(RelayTest):
    """What callers get."""

    def test_answer_and_headers_pass_unchanged(self):
        target = Target("i1")
        relay = self.relay_to(target)
        answer = relay.handle(self.request(headers=(("X-Own", "1"),)))
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(answer.header(NAMES.signature), "s")
        sent = target.ran[0]
        self.assertEqual(header_of(sent, "X-Own"), "1")
        self.assertEqual(header_of(sent, NAMES.intended_instance), "i1")

    def test_deadline_of_the_target_is_what_is_left(self):
        target = Target("i1")
        relay = self.relay_to(target)
        relay.handle(self.request(headers=((NAMES.deadline_ms, "200"),)))
        left = int(header_of(target.ran[0], NAMES.deadline_ms))
        self.assertLessEqual(left, 200)
        self.assertGreater(left, 100)
        relay.handle(self.request(headers=((NAMES.deadline_ms, "99999"),)))
        self.assertLessEqual(int(header_of(target.ran[1], NAMES.deadline_ms)), 600)

    def test_no_tables_is_not_run_and_no_route_is_not_found(self):
        relay = self.relay_to(Target("i1"))
        self.assertEqual(self.refused(relay, self.request("/other/")).status, 404)
        relay._pools._tables = None
        self.assertEqual(self.refused(relay, self.request()).status, 503)

    def test_failure_of_the_target_passes_unchanged(self):
        relay = self.relay_to(Target("i1", replies=lambda n, r: {"status": 500}))
        answer = relay.handle(self.request("/book/1", method="POST"))
        self.assertEqual(answer.status, 500)
        self.assertEqual(answer.header(NAMES.signature), "s")


class TestAtMostOnce(RelayTest):
    """A request that must not be repeated runs at most once, and is told truly."""

    def test_rejected_request_is_placed_again(self):
        targets = [
            Target("i1", replies=lambda n, r: targets[0].refuse()),
            Target("i2", load="1,0,3,1.0"),
        ]
        relay = self.relay_to(*targets)
        answer = relay.handle(self.request("/book/1", method="POST"))
        self.assertEqual(answer.status, 200)

    def test_rejected_everywhere_is_not_run(self):
        targets = [
            Target(f"i{n}", replies=lambda n, r: targets[0].refuse()) for n in (1, 2)
        ]
        relay = self.relay_to(*targets)
        refusal = self.refused(relay, self.request("/book/1", method="POST"))
        self.assertEqual((refusal.status, refusal.outcome), (503, Outcome.NOT_RUN))
        self.assertIsNotNone(refusal.retry_after_ms)
        self.assertLessEqual(sum(len(t.ran) for t in targets), 2)

    def test_lost_answer_is_unknown_and_never_repeated(self):
        def lose(number, request):
            return Reply(content=b"", close=True)

        targets = [Target(f"i{n}", replies=lose) for n in (1, 2)]
        relay = self.relay_to(*targets)
        refusal = self.refused(relay, self.request("/book/1", method="POST"))
        self.assertEqual((refusal.status, refusal.outcome), (502, Outcome.UNKNOWN))
        self.assertEqual(sum(len(t.ran) for t in targets), 1)

    def test_bare_promise_of_a_target_is_not_passed_on(self):
        targets = [Target("i1", replies=lambda n, r: {"status": 503})]
        relay = self.relay_to(*targets)
        refusal = self.refused(relay, self.request("/book/1", method="POST"))
        self.assertEqual(refusal.status, 502)

    def test_silence_until_the_deadline_is_unknown(self):
        relay = self.relay_to(Target("i1", replies=lambda n, r: None))
        started = time.monotonic()
        refusal = self.refused(relay, self.request("/book/1", method="POST"))
        self.assertEqual(refusal.status, 504)
        self.assertLess(time.monotonic() - started, 0.85)

    def test_other_instance_at_the_address_gets_nothing(self):
        """The address of a target that is gone may belong to another service."""
        stranger = Target("other")
        stranger.instance = "stranger"
        relay = self.relay_to(stranger)
        relay.use_registrations(
            {
                "i1": Registration(
                    instance="i1",
                    pool="p",
                    address=stranger.address,
                    failure_domain="a",
                    slots=3,
                )
            }
        )
        refusal = self.refused(relay, self.request())
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(stranger.ran, [])


class TestRepeats(RelayTest):
    """Requests that may be repeated use a second target."""

    def test_lost_answer_is_repeated_elsewhere(self):
        def lose_first(number, request):
            return Reply(content=b"", close=True) if len(ran()) == 1 else {}

        targets = [Target(f"i{n}", replies=lose_first) for n in (1, 2)]

        def ran():
            return [r for t in targets for r in t.ran]

        relay = self.relay_to(*targets)
        self.assertEqual(relay.handle(self.request()).status, 200)
        self.assertEqual(len(ran()), 2)

    def test_slow_target_is_overtaken_by_another(self):
        def slow_first(number, request):
            return None if len(ran()) == 1 else {}

        targets = [Target(f"i{n}", replies=slow_first) for n in (1, 2)]

        def ran():
            return [r for t in targets for r in t.ran]

        relay = self.relay_to(*targets)
        started = time.monotonic()
        self.assertEqual(relay.handle(self.request()).status, 200)
        self.assertLess(time.monotonic() - started, GOAL_MS / 1e3 + 0.1)

    def test_first_request_of_a_route_is_not_taken_for_slow(self):
        """All requests after a start were sent twice, by the assumed work."""

        def usual(number, request):
            return {"delay_ms": 0.45 * GOAL_MS}

        targets = [Target(f"i{n}", replies=usual) for n in (1, 2)]
        relay = self.relay_to(*targets)
        self.assertEqual(relay.handle(self.request()).status, 200)
        self.assertEqual(sum(len(t.ran) for t in targets), 1)

    def test_second_attempt_after_a_failure_is_the_last(self):
        """A hedge of a repeated request went to a third target."""

        def fail_first(number, request):
            return {"status": 500} if len(ran()) == 1 else None

        targets = [Target(f"i{n}", replies=fail_first) for n in range(1, 5)]

        def ran():
            return [r for t in targets for r in t.ran]

        relay = self.relay_to(*targets)
        self.refused_or_answered(relay)
        self.assertEqual(len(ran()), 2)

    def refused_or_answered(self, relay):
        try:
            relay.handle(self.request())
        except Refusal as refusal:
            self.assertEqual(refusal.status, 504)

    def test_no_more_targets_than_the_route_allows(self):
        def lose(number, request):
            return Reply(content=b"", close=True)

        targets = [Target(f"i{n}", replies=lose) for n in range(1, 6)]
        relay = self.relay_to(*targets)
        self.refused(relay, self.request())
        self.assertEqual(sum(len(t.ran) for t in targets), 2)


class TestLearning(RelayTest):
    """What an entry learns from its own requests."""

    def test_first_request_says_nothing_of_an_upstreams_slots(self):
        """It was compared with an assumed work that is far too short."""
        relay = self.relay_to(Target("i1"))
        served = relay._pools.get("p")
        offer = ProbeResult(
            state=served.view.states["i1"], report=LoadReport(in_flight=0, slots=3)
        )
        relay._pools.learn_work(route(), served, offer, 200.0)
        for _ in range(8):
            served.crowding.observe(1.0, used_share=0.5)
            served.crowding.observe(1.7, used_share=1.0)
        self.assertAlmostEqual(served.crowding.full_factor, 1.7)


class TestTurningAway(RelayTest):
    """What cannot be served is refused at once."""

    def test_full_pool_refuses_at_once(self):
        targets = [Target(f"i{n}", load="3,9,3,7.0") for n in (1, 2, 3)]
        relay = self.relay_to(*targets)
        relay._pools.work_of(route()).observe(200.0, slowdown=1.0)
        started = time.monotonic()
        refusal = self.refused(relay, self.request())
        self.assertEqual((refusal.status, refusal.outcome), (503, Outcome.NOT_RUN))
        self.assertLess(time.monotonic() - started, GOAL_MS / 1e3 / 2)
        self.assertEqual([t.ran for t in targets], [[], [], []])

    def test_unreachable_targets_are_not_run(self):
        gone = Target("i1")
        relay = self.relay_to(gone)
        gone.close()
        refusal = self.refused(relay, self.request())
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.failures, ["i1"])

    def test_search_goes_on_when_one_of_the_asked_targets_does_not_answer(self):
        """In a burst requests were refused because one target of two was gone."""
        silent, slow, free = (
            Target("i1"),
            Target("i2", load="3,9,3,7.0"),
            Target("i3"),
        )
        silent.answers = False
        relay = self.relay_to(silent, slow, free)
        relay._pools.work_of(route()).observe(200.0, slowdown=1.0)
        asked = [[silent, slow], [free]]
        states = relay._pools.get("p").view.states
        with mock.patch.object(
            UpstreamSearch,
            "next_states",
            lambda search, best: (
                [states[t.instance] for t in asked.pop(0)] if asked else []
            ),
        ):
            self.assertEqual(relay.handle(self.request()).status, 200)
        self.assertEqual(len(free.ran), 1)
        # Told to others, late answers of a disturbed network made all avoid upstreams.
        self.assertEqual(self.failures, [])
        self.assertGreater(states["i1"].failures(SystemClock().now()), 0.5)

    def test_silent_connections_are_no_failure_of_their_target(self):
        """All upstreams were avoided after their kept connections went silent."""
        target = Target("i1")
        relay = self.relay_to(target)
        self.assertEqual(relay.handle(self.request()).status, 200)
        target.silence()
        try:
            relay.handle(self.request())
        except Refusal as refusal:
            self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(self.failures, [])
        self.assertEqual(relay.handle(self.request()).status, 200)

    def test_leaving_target_gets_nothing(self):
        targets = [Target("i1"), Target("i2")]
        relay = self.relay_to(*targets)
        self.register(relay, *targets, leaving=True)
        refusal = self.refused(relay, self.request())
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)


class TestCallers(RelayTest):
    """A caller that leaves stops the work that may be stopped."""

    def test_work_for_a_caller_that_left_is_dropped(self):
        target = Target("i1", replies=lambda n, r: None)
        relay = self.relay_to(target, routes=(route(deadline_ms=3_000.0),))
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        far.close()
        started = time.monotonic()
        request = self.request(cancellation=Cancellation(caller=near))
        self.assertEqual(self.refused(relay, request).code, "caller-gone")
        self.assertLess(time.monotonic() - started, 0.5)

    def test_booking_of_a_caller_that_left_is_finished(self):
        target = Target("i1", replies=lambda n, r: {"delay_ms": 50.0})
        relay = self.relay_to(target)
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        far.close()
        request = self.request(
            "/book/1", method="POST", cancellation=Cancellation(caller=near)
        )
        self.assertEqual(relay.handle(request).status, 200)


class TestSplits(RelayTest):
    """A split route uses its shares."""

    def test_share_without_room_is_not_moved(self):
        shares = (PoolShare(pool="p", weight=1), PoolShare(pool="gone", weight=1))
        relay = self.relay_to(Target("i1"), routes=(route(shares=shares, pool=""),))
        outcomes = []
        for _ in range(10):
            try:
                outcomes.append(relay.handle(self.request()).status)
            except Refusal as refusal:
                outcomes.append(refusal.status)
        self.assertEqual(sorted(outcomes), [200] * 5 + [503] * 5)
