"""Tests that traces of the implementation conform to the specifications."""

import concurrent.futures
import time
import unittest
from unittest import mock

import numpy

from monsoonline.adapters.http_upstream import ExchangeFailed
from monsoonline.adapters.local_peers import LocalPeerHub
from monsoonline.clock import ManualClock
from monsoonline.core.configuration_peers import ConfigurationPeers
from monsoonline.core.dispatch import Assignment
from monsoonline.core.ledger import (
    RETENTION_WINDOWS,
    WINDOW_MS,
    Ledger,
    LedgerLimits,
)
from monsoonline.core.model import (
    Pool,
    RefusalMeaning,
    Route,
    RouteMatch,
    Tables,
    Upstream,
)
from monsoonline.entry.keys import KeyDirectory
from monsoonline.entry.relay import Relay
from monsoonline.errors import PeerUnavailable, Refusal
from monsoonline.metrics import Metrics
from monsoonline.types import Answer, AttemptKind, Outcome, Request
from monsoonline.verify.at_most_once import specification as at_most_once
from monsoonline.verify.configuration import specification as configuration
from monsoonline.verify.specification import ObservedStep
from tests.fixtures import Deployment, edit, member, pool_document

SCHEDULE_COUNT = 600
CONFIGURATION_SCHEDULE_COUNT = 20
MAX_EDITS = 2
ACTIONS_PER_SCHEDULE = 14
MAX_SENDS = 3
# Deadline header of requests to the owner, in ms. Kept short because a duplicate waits
# in real time for the running request.
OWNER_DEADLINE_MS = "1"
OBSERVABLE = at_most_once.labels - {"evict", "lose", "restart"}
UPSTREAM = Upstream(address="127.0.0.1:1", failure_domain="a", slots=1)
POOL = Pool(
    name="p",
    department="d",
    upstreams=(UPSTREAM,),
    refusal_means=RefusalMeaning.NOT_RUN,
)
ROUTE = Route(
    name="booking",
    department="d",
    pool="p",
    match=RouteMatch(),
    idempotent=False,
    deadline_ms=90.0,
)
STEP_BY_REFUSAL_CODE = {
    "key-expired": "refuse-expired",
    "records-full": "refuse-full",
    "entry-stopping": "refuse-closed",
}
EXCHANGE_RESULTS = {
    "finish": Answer(status=200, body=b"booked"),
    "receive-bare-refusal": Answer(status=503),
    "receive-certified-refusal": Answer(
        status=503, headers=(("Monsoonline-Not-Run", "true"),)
    ),
    "lose-connection": ExchangeFailed("lost", sent=True),
    "connect-failed": ExchangeFailed("refused", sent=False),
}


def refusal(code):
    return Refusal(code, code=code, outcome=Outcome.NOT_RUN, status=503)


class InlineExecutor:
    """Runs a handler synchronously, which keeps schedules deterministic."""

    def submit(self, function, *arguments):
        future = concurrent.futures.Future()
        future.set_result(function(*arguments))
        return future

    def shutdown(self, **options):
        pass


def remove_record(ledger, key):
    """Remove the record of a key, which the public interface of a ledger cannot do."""
    for records in ledger._windows.values():
        ledger._record_count -= records.pop(key, None) is not None


class RestartingLedger(Ledger):
    """Faulty ledger that restarts a finished key."""

    def begin(self, key, fingerprint, *, deadline):
        response = super().begin(key, fingerprint, deadline=deadline)
        if response is not None:
            remove_record(self, key)
            response = super().begin(key, fingerprint, deadline=deadline)
        return response


class ReleasingLedger(Ledger):
    """Faulty ledger that keeps no record of refused keys."""

    def refuse(self, key, refusal):
        remove_record(self, key)


class UnfencedLedger(Ledger):
    """Faulty ledger that may start a key after reporting it as never started."""

    def _fence(self, key, parsed):
        state = super()._fence(key, parsed)
        self._windows.get(parsed.window, {}).pop(key, None)
        return state


class Schedule:
    """One key, its owner and another entry under a random schedule of actions.

    The schedule replaces the dispatcher and the transport of the relays, so that any
    action can occur while a request is in progress, without threads.

    :param seed: seed of the random choices
    :param ledger_type: class of the owner's ledger
    """

    def __init__(self, *, seed, ledger_type=Ledger):
        self.random = numpy.random.default_rng(seed)
        self.steps = []
        self.clock = ManualClock()
        self.hub = LocalPeerHub()
        self.hub.close()
        self.hub._executor = InlineExecutor()
        self.admitted = True
        self.admission_refused = False
        limits = LedgerLimits(records=int(self.random.random() < 0.95))
        self.ledger = ledger_type(clock=self.clock, limits=limits, admission=self.admit)
        self.keys, peers = self.join("owner", self.ledger)
        peers.serve("key-query", self.reply)
        other_ledger = Ledger(clock=self.clock)
        self.other_keys, self.other_peers = self.join("other", other_ledger)
        self.other_peers.request = self.request
        self.owner = self.make_relay(self)
        self.other = self.make_relay(self.other_keys)
        self.key = f"{self.ledger.token()}.k"
        self.state, self.sends, self.buffered = "up", MAX_SENDS, 0
        self.expired = self.handed_over = False
        self.in_transit = self.runs = self.depth = 0
        self.reported_not_run = False
        self.exchange_step = None

    def join(self, name, ledger):
        """Return the key directory and the peer network of an entry."""
        peers = self.hub.join(member(name, ledger.incarnation))
        keys = KeyDirectory(
            ledger=ledger, peers=peers, clock=self.clock, metrics=Metrics()
        )
        return keys, peers

    def make_relay(self, ledger):
        relay = Relay(
            clock=self.clock,
            dispatcher=self,
            ledger=ledger,
            transport=self,
            metrics=Metrics(),
        )
        relay.use_tables(Tables(pools={"p": POOL}, routes={"booking": ROUTE}))
        return relay

    def run(self):
        """Perform random actions, then serve the remaining requests."""
        for _ in range(ACTIONS_PER_SCHEDULE):
            self.perform_action()
        if self.state == "paused":
            self.resume()
        while self.buffered and self.state != "gone":
            self.serve()

    def perform_action(self):
        """Perform one random action that is currently possible."""
        weights = {
            name: weight * bool(possible) for name, (weight, possible) in self.actions()
        }
        total = sum(weights.values())
        probabilities = [weight / total for weight in weights.values()]
        getattr(self, self.random.choice(list(weights), p=probabilities))()

    def actions(self):
        """Yield each action with its weight and whether it is currently possible."""
        up = self.state in ("up", "closed")
        reachable = self.state != "gone"
        yield "toggle_admission", (0.5, True)
        yield "send", (1.5, self.sends and self.buffered < 2 and reachable)
        yield "serve", (4.0, self.buffered and up and self.depth < 3)
        yield "send_elsewhere", (1.0 + 2.0 * self.handed_over, self.sends)
        yield "late_execution", (1.0, self.in_transit and not self.depth)
        yield "pause", (0.2, self.state == "up")
        yield "resume", (2.0, self.state == "paused")
        yield "expire", (0.05, not self.expired)
        yield "close", (0.3, self.state == "up")
        yield "hand_over", (2.0, self.state == "closed" and not self.handed_over)
        yield "stop", (0.05, reachable)

    def observe(self, label, **fields):
        self.steps.append(ObservedStep(label=label, fields=fields))

    def observe_owner(self, label, **fields):
        """Record a step of the owner unless its process has ended."""
        if self.state != "gone":
            self.observe(label, **fields)

    # Actions.

    def toggle_admission(self):
        self.admitted = not self.admitted

    def send(self):
        self.sends -= 1
        self.buffered += 1
        self.observe("send-to-owner")

    def serve(self):
        self.buffered -= 1
        self.record_response(self.call(self.owner, OWNER_DEADLINE_MS))

    def send_elsewhere(self):
        self.sends -= 1
        self.observe("send-elsewhere")
        before = len(self.steps)
        response = self.call(self.other, "90")
        not_run = response.header("Monsoonline-Outcome") == "not-run"
        self.record_response(response)
        fields = {"said_not_run": True} if not_run else {}
        replied = any(step.label == "reply" for step in self.steps[before:])
        if replied and b"key-owner-unreachable" not in response.body:
            self.observe("receive-reply", **fields)
        elif not replied and b"key-owner-unreachable" not in response.body:
            self.observe("ask-successor", **fields)
        else:
            if not replied:
                self.observe("query")
            self.observe("query-timeout", **fields)

    def late_execution(self):
        self.in_transit -= 1
        self.execute()

    def pause(self):
        self.state = "paused"
        self.hub.set_reachable(self.ledger.incarnation, False)
        self.observe("pause")

    def resume(self):
        self.state = "up"
        self.hub.set_reachable(self.ledger.incarnation, True)
        self.observe("resume")

    def expire(self):
        self.expired = True
        self.clock.advance((RETENTION_WINDOWS + 1) * WINDOW_MS)
        self.observe("expire")

    def close(self):
        self.state = "closed"
        self.ledger.close()
        self.observe("close")

    def hand_over(self):
        self.handed_over = True
        self.keys.hand_over()
        self.observe("hand-over")

    def stop(self):
        self.state, self.buffered = "gone", 0
        self.hub.leave(self.ledger.incarnation)
        self.observe("stop")

    # The caller.

    def call(self, relay, deadline_ms):
        headers = (
            ("Monsoonline-Key", self.key),
            ("Monsoonline-Deadline-Ms", deadline_ms),
        )
        return relay.handle(
            Request(method="POST", host="a", target="/", headers=headers)
        )

    def record_response(self, response):
        if response.header("Monsoonline-Outcome") == "not-run":
            self.reported_not_run = True

    # Key directory interface used by the owner's relay.

    def token(self):
        return self.keys.token()

    def admit(self):
        if not self.admitted:
            self.admission_refused = True
            raise refusal("isolated")

    def begin(self, key, fingerprint, *, deadline):
        self.admission_refused = False
        try:
            response = self.keys.begin(key, fingerprint, deadline=deadline)
        except Refusal as error:
            not_run = error.outcome is Outcome.NOT_RUN
            fields = {"said_not_run": True} if not_run else {}
            if self.admission_refused:
                self.observe_owner("begin")
                self.observe_owner("refuse", **fields)
            else:
                self.observe_owner(
                    STEP_BY_REFUSAL_CODE.get(error.code, "repeat"), **fields
                )
            raise
        self.observe_owner("begin" if response is None else "repeat")
        return response

    def finish(self, key, response):
        self.keys.finish(key, response)
        self.observe_owner(self.exchange_step)

    def refuse(self, key, refusal):
        self.keys.refuse(key, refusal)
        self.observe_owner("refuse", said_not_run=True)

    # Peer messages.

    def reply(self, member_name, payload):
        # Replaces the handler that KeyDirectory registered, to record the step.
        self.observe("query")
        content = self.keys._serve_query(member_name, payload)
        self.observe("reply")
        return content

    def request(self, member, kind, payload, *, timeout_ms):
        content = self.hub.request(
            self.other_peers.member, member, kind, payload, timeout_ms=timeout_ms
        )
        if self.random.random() < 0.2:
            raise PeerUnavailable("the reply is lost")
        return content

    # Dispatcher and transport interfaces used by both relays.

    def acquire(self, route, **options):
        self.interrupt()
        if self.random.random() < 0.3:
            raise refusal("no-slot")
        return Assignment(
            pool="p",
            upstream=UPSTREAM,
            route=route.name,
            fingerprint=None,
            first=True,
            state=None,
        )

    def is_stale(self, assignment):
        return False

    def release(self, assignment, result):
        pass

    def may_retry(self, route, *, attempts, result):
        retried = (AttemptKind.SHED, AttemptKind.CONNECT_FAILED)
        return attempts < 3 and result.kind in retried

    def response_delay_ms(self, fingerprint):
        return 0.0

    def is_reachable(self, upstream):
        return False

    def exchange(self, upstream, request, **options):
        end = list(EXCHANGE_RESULTS)[self.random.integers(len(EXCHANGE_RESULTS))]
        # This code also runs after a stop of the owner; a real process would not.
        sent = end != "connect-failed" and self.state != "gone"
        if sent:
            self.observe_owner("forward")
        ran = end == "finish" or (
            end in ("lose-connection", "receive-bare-refusal")
            and self.random.random() < 0.5
        )
        if sent and ran:
            self.execute()
        elif sent and end == "lose-connection":
            self.in_transit += 1
        self.interrupt()
        if end == "receive-certified-refusal":
            self.observe_owner(end)
        self.exchange_step = end
        if isinstance(EXCHANGE_RESULTS[end], Exception):
            raise EXCHANGE_RESULTS[end]
        return EXCHANGE_RESULTS[end]

    def interrupt(self):
        """Perform random actions while a request of the owner is in progress."""
        self.depth += 1
        for _ in range(self.random.integers(3)):
            self.perform_action()
        if self.state == "paused":
            self.resume()
        self.depth -= 1

    def execute(self):
        self.runs += 1
        self.observe("execute")


class TestAtMostOnceTraces(unittest.TestCase):
    """Ledger, key directory and relay against the at-most-once specification."""

    def rejects(self, ledger_type):
        """Return whether the specification rejects at least one schedule."""
        for seed in range(SCHEDULE_COUNT):
            schedule = Schedule(seed=seed, ledger_type=ledger_type)
            schedule.run()
            if not at_most_once.accepts(schedule.steps, observable=OBSERVABLE):
                return True
        return False

    def test_all_schedules_are_accepted(self):
        seen = set()
        for seed in range(SCHEDULE_COUNT):
            schedule = Schedule(seed=seed)
            schedule.run()
            seen.update(step.label for step in schedule.steps)
            with self.subTest(seed=seed):
                length = at_most_once.accepted_prefix_length(
                    schedule.steps, observable=OBSERVABLE
                )
                rest = [step.label for step in schedule.steps[: length + 1]]
                self.assertEqual(length, len(schedule.steps), rest)
                self.assertLessEqual(schedule.runs, 1)
                self.assertFalse(schedule.reported_not_run and schedule.runs)
        # An observable step that no schedule reaches would remain untested.
        self.assertEqual(seen, OBSERVABLE)

    def test_faulty_ledgers_are_rejected(self):
        """Guards against a specification that accepts traces of a faulty ledger."""
        for ledger_type in (RestartingLedger, ReleasingLedger, UnfencedLedger):
            with self.subTest(ledger_type.__name__):
                self.assertTrue(self.rejects(ledger_type))

    def test_wrong_traces_are_rejected(self):
        start = ["send-to-owner", "begin"]
        not_run = ObservedStep(label="refuse", fields={"said_not_run": False})
        for steps in (
            ["begin"],
            [*start, "forward", "execute", "finish", "forward"],
            [*start, "refuse", "forward"],
            [*start, not_run],
            ["send-to-owner", "close", "begin"],
        ):
            with self.subTest(steps):
                self.assertFalse(at_most_once.accepts(steps, observable=OBSERVABLE))


class ConfigurationSchedule:
    """Four entries' configurations and a replacement under a random schedule.

    :param test: test case that the clean-up is registered with
    :param seed: seed of the random choices
    """

    NAMES = ("a", "b", "c", "e")
    OBSERVABLE = configuration.labels - {
        "acknowledge",
        "replacement-hears",
        "gossip",
    }

    def __init__(self, test, *, seed):
        self.random = numpy.random.default_rng(seed)
        self.steps = []
        self.deployment = Deployment(test)
        self.network = self.deployment.network
        self.deployment.platform.put_row("pools", "quotes", pool_document())
        self.entries = dict(
            zip(self.NAMES, self.deployment.start(*self.NAMES), strict=True)
        )
        self.first_revision = self.entries["a"].revision
        self.edits = 0
        self.store_up = True
        self.failures = 2

    def observe(self, label, **fields):
        revisions = {name: self.revision(name) for name in self.NAMES}
        self.steps.append(ObservedStep(label=label, fields=revisions | fields))

    def revision(self, name):
        """Return the revision of an entry as numbered in the specification.

        Revisions count from the first one; -1 stands for a failed entry.
        """
        if name not in self.entries:
            return -1
        return self.entries[name].revision - self.first_revision

    def run(self):
        for _ in range(12):
            actions = [self.poll, self.poll, self.toggle_store, self.replace]
            if self.store_up and "a" in self.entries and self.edits < MAX_EDITS:
                actions.append(self.commit)
            if self.failures and len(self.entries) > 2:
                actions.append(self.fail)
            actions[self.random.integers(len(actions))]()

    def choose(self):
        return list(self.entries)[self.random.integers(len(self.entries))]

    def commit(self):
        self.edits += 1
        entry = self.entries["a"]
        expected = entry.row("pools", "quotes").version
        document = pool_document(slots=3 + self.edits)
        proposal = edit("pools", "quotes", document, expected=expected)
        # Either all offers are lost or none.
        if self.random.random() < 0.4:
            with mock.patch.object(ConfigurationPeers, "offer", return_value=(0, 3)):
                result = entry.commit(proposal)
        else:
            result = entry.commit(proposal)
            # Offers beyond the required acknowledgements may complete later.
            deadline = time.monotonic() + 5
            while len({other.revision for other in self.entries.values()}) > 1:
                assert time.monotonic() < deadline, (
                    "entries did not apply the offered revision within 5 s"
                )
                time.sleep(0.001)
        fields = {"a": self.revision("a"), "store": self.edits}
        self.steps.append(ObservedStep(label="commit", fields=fields))
        if result.accepted:
            self.observe("accept", accepted=self.edits)
        elif self.edits < MAX_EDITS:
            self.observe("report-propagating")

    def poll(self):
        name = self.choose()
        before = self.revision(name)
        entry = self.entries[name]
        applied_before = entry.metrics.value(
            "configuration_applied_total", source="store"
        )
        entry.poll()
        applied_after = entry.metrics.value(
            "configuration_applied_total", source="store"
        )
        if self.revision(name) > before and applied_after > applied_before:
            self.observe("read-store")

    def toggle_store(self):
        self.store_up = not self.store_up
        self.deployment.platform.set_faults("tables", outage=not self.store_up)
        self.observe("store-returns" if self.store_up else "store-fails")

    def fail(self):
        self.failures -= 1
        name = self.choose()
        self.entries.pop(name).close()
        del self.network.configurations[name]
        self.observe("entry-fails")

    def replace(self):
        self.observe("replacement-starts", d=0, d_ready=False)
        entry = self.deployment.start_one("d")
        revision = entry.revision - self.first_revision
        if entry.ready:
            source = "store" if self.store_up else "peers"
            self.observe(f"replacement-ready-by-{source}", d=revision, d_ready=True)
        entry.close()
        del self.network.configurations["d"]


class TestConfigurationTraces(unittest.TestCase):
    """Configurations against the configuration specification."""

    def test_all_schedules_are_accepted(self):
        seen = set()
        for seed in range(CONFIGURATION_SCHEDULE_COUNT):
            schedule = ConfigurationSchedule(self, seed=seed)
            schedule.run()
            seen.update(step.label for step in schedule.steps)
            with self.subTest(seed=seed):
                length = configuration.accepted_prefix_length(
                    schedule.steps, observable=schedule.OBSERVABLE
                )
                self.assertEqual(
                    length, len(schedule.steps), schedule.steps[: length + 1]
                )
        self.assertEqual(seen, ConfigurationSchedule.OBSERVABLE)

    def test_reverting_entry_is_rejected(self):
        """A trace in which an entry returns to an earlier revision must be rejected."""
        steps = [
            ObservedStep(label="commit", fields={"a": 1}),
            ObservedStep(label="read-store", fields={"b": 1}),
            "report-propagating",
            ObservedStep(label="commit", fields={"a": 2}),
            ObservedStep(label="read-store", fields={"b": 2, "c": 0}),
            ObservedStep(label="read-store", fields={"b": 1}),
        ]
        observable = ConfigurationSchedule.OBSERVABLE
        self.assertEqual(
            configuration.accepted_prefix_length(steps, observable=observable), 5
        )
