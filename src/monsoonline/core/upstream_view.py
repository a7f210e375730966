"""State that an entry keeps for the upstreams of a pool.

It serves outlier detection and the choice of upstreams to probe. Load reports are kept
with their time, and the weight of failures and of reported slowdowns decays with age.
"""

import dataclasses
import random

from monsoonline.core.permits import PermitForecast
from monsoonline.core.slowdown_estimate import PoolSlowdown, SlowdownEstimate
from monsoonline.core.upstream_limits import UpstreamLimit
from monsoonline.types import AttemptKind

__all__ = ["UpstreamState", "UpstreamView"]

# Age at which the weight of failures has halved, so that an upstream that failed is
# tried again after a few seconds.
FAILURE_HALF_LIFE_MS = 3_000.0
# An upstream whose recent failures reach this weight is ranked last.
MAX_FAILURE_WEIGHT = 1.5
FAILURE_WEIGHTS = {
    # A response that reports a failure may be the fault of the request.
    AttemptKind.FAILED_RESPONSE: 0.6,
    AttemptKind.SHED: 0.5,
    AttemptKind.TIMED_OUT: 1.0,
    AttemptKind.CONNECTION_LOST: 1.0,
    AttemptKind.CONNECT_FAILED: 2.0,
}
SUCCESS_DECAY_FACTOR = 0.8
# Weight of a failure that another entry observed, relative to one observed here;
# several together carry as much evidence as one observed here.
PEER_FAILURE_FACTOR = 0.8
# Up to this age a report is used for the number of requests at an upstream.
MAX_REPORT_AGE_MS = 150.0
# Some upstreams slow down when more than this share of their slots is in use.
BUSY_SHARE = 0.75
# Slowdown by which a local upstream must be worse than a remote one to be probed after
# it: crossing failure domains costs billed traffic, and little is known about remote
# upstreams.
REMOTE_RANK_PENALTY = 2.5
# The same for an upstream with a limit, which is probed only with a permit. A few ms
# between domains are small compared with the time at a slow upstream.
REMOTE_PERMIT_PENALTY = 0.3
# Share of a pool that may be ranked last for failures; a faulty route or caller must
# not make a whole pool unusable.
MAX_AVOIDED_SHARE = 0.5


class UpstreamState:
    """State of one upstream.

    :param registration: its :class:`monsoonline.core.registrations.Registration`
    """

    __slots__ = (
        "_failures",
        "_failures_at",
        "confirmed",
        "in_flight",
        "limit",
        "limit_logged_at",
        "limit_unreadable",
        "misdirected",
        "permits",
        "registration",
        "report",
        "reported_at",
        "responded_at",
        "slowdown",
    )

    def __init__(self, *, registration):
        self.registration = registration
        self.in_flight = 0
        # Whether its address responded with the id of another upstream.
        self.misdirected = False
        # Whether it has said in response to a probe that it is healthy.
        self.confirmed = False
        # Time of its last response to a probe.
        self.responded_at = float("-inf")
        # The last load report, for the fields that change within moments.
        self.report = None
        self.reported_at = float("-inf")
        self.slowdown = SlowdownEstimate()
        self.limit = UpstreamLimit()
        self.limit_logged_at = float("-inf")
        self.limit_unreadable = False
        self.permits = PermitForecast()
        self._failures = 0.0
        self._failures_at = 0.0

    @property
    def address(self):
        """``host:port`` of the upstream."""
        return self.registration.address

    def failures(self, now):
        """Return the decayed weight of recent failures."""
        if self._failures == 0.0:
            return 0.0
        age_ms = now - self._failures_at
        return self._failures * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)

    def add_failure(self, weight, now):
        """Record a failure."""
        self._failures = self.failures(now) + weight
        self._failures_at = now

    def add_success(self, now):
        """Record a success, which reduces the weight of earlier failures."""
        self._failures = self.failures(now) * SUCCESS_DECAY_FACTOR
        self._failures_at = now


class UpstreamView:
    """The upstreams of one pool by instance.

    :param failure_domain: failure domain of this entry
    :param generator: :class:`random.Random`, a fresh one when omitted
    :param holds: :class:`monsoonline.core.upstream_holds.UpstreamHolds`, ``None`` if
        no upstream asks for one
    """

    def __init__(self, *, failure_domain, generator=None, holds=None):
        self._holds = holds
        self._failure_domain = failure_domain
        self._generator = generator or random.Random()
        self._states = {}
        self._pool_slowdown = PoolSlowdown()
        # Whether upstreams report their load, ``None`` until the first response.
        self.reports_load = None
        self._any_confirmed = False

    @property
    def states(self):
        """The :class:`UpstreamState` of each upstream by instance."""
        return self._states

    def update(self, registrations):
        """Apply the registrations of the pool and drop the state of other upstreams."""
        states = {}
        for registration in registrations:
            known = self._states.get(registration.instance)
            if known is None or (
                known.registration.born_ms != registration.born_ms
                or known.registration.address != registration.address
            ):
                known = UpstreamState(registration=registration)
            known.registration = registration
            states[registration.instance] = known
        self._states = states
        self._any_confirmed = any(state.confirmed for state in states.values())

    def usable(self, excluded=frozenset()):
        """Return the states that may take a request.

        :param excluded: instances used by earlier attempts of the request
        """
        return [
            state
            for instance, state in self._states.items()
            if not state.registration.leaving
            and not state.misdirected
            and instance not in excluded
            and not self.hold_ms(state)
        ]

    def hold_ms(self, state):
        """Return the time in ms for which nothing is sent to an upstream."""
        if self._holds is None:
            return 0.0
        return self._holds.remaining_ms(state.registration)

    def shortest_hold_ms(self):
        """Return the time in ms until the first held upstream may be used again.

        :returns: ``None`` if no upstream is held that could be used otherwise
        """
        holds = [
            hold_ms
            for state in self._states.values()
            if not (state.registration.leaving or state.misdirected)
            and (hold_ms := self.hold_ms(state))
        ]
        return min(holds, default=None)

    def unlimited(self, excluded=frozenset()):
        """Return the usable states of upstreams that name no limit."""
        return [s for s in self.usable(excluded) if s.limit.value is None]

    def limited(self, excluded=frozenset()):
        """Return the usable states of upstreams that name a limit."""
        return [s for s in self.usable(excluded) if s.limit.value is not None]

    def sorted_for_permits(self, states, now):
        """Return states of upstreams that name a limit, the most promising first."""
        ordered = list(states)
        self._generator.shuffle(ordered)
        ordered.sort(
            key=lambda s: (
                self._rank(s, now)
                + (0.0 if self.is_local(s) else REMOTE_PERMIT_PENALTY)
            )
        )
        return ordered

    def record_health(self, state, healthy):
        """Record what an upstream says of its health in response to a probe.

        :param state: its :class:`UpstreamState`
        :param healthy: whether it has said so, under its own id
        """
        if healthy:
            state.confirmed = True
            self._any_confirmed = True

    def is_confirmed(self, state):
        """Return whether the registration of an upstream is known to be current.

        The store may perform a write late, so a registration may appear again after its
        upstream has left. An upstream is therefore used once it has said that it is
        healthy, unless no upstream of the pool has said so. Later it may seem unhealthy
        by mistake.
        """
        return state.confirmed or not self._any_confirmed

    def record_report(self, state, report, now):
        """Record a :class:`monsoonline.types.LoadReport` of an upstream."""
        state.report = report
        state.reported_at = now
        state.slowdown.observe(report.pace, now)
        self._pool_slowdown.observe(report.pace)

    def apply_load_notice(self, notice, now):
        """Apply a :class:`monsoonline.core.fleet_messages.LoadNotice`."""
        for item in notice.loads:
            state = self._states.get(item.instance)
            if state is None:
                continue
            report = item.report
            if item.instance == notice.chosen:
                # The report was made before the request was sent to the upstream.
                report = dataclasses.replace(report, in_flight=report.in_flight + 1)
            self.record_report(state, report, now)

    def slowdown_of(self, state, now):
        """Return the estimated slowdown of an upstream, 1.0 for the usual speed."""
        return state.slowdown.value(now, prior=self._pool_slowdown.mean)

    def candidates(self, now, *, excluded=frozenset()):
        """Return the upstreams that may take a request, the most promising first.

        Upstreams with a limit are not among them: each request to one needs a permit.
        Upstreams in the entry's failure domain come first, since probing them causes
        no traffic between domains, unless they are known to be slow or full; those
        with recent failures come last. Within each group the fastest come first, and
        ties are in random order.

        :param now: the time in ms
        :param excluded: instances not to return
        :returns: two lists: local upstreams to probe first, and all others
        """
        usable = self.unlimited(excluded)
        self._generator.shuffle(usable)
        ranks = {id(state): self._rank(state, now) for state in usable}
        avoided = [s for s in usable if s.failures(now) >= MAX_FAILURE_WEIGHT]
        if len(avoided) > MAX_AVOIDED_SHARE * len(self._states):
            avoided = []
        avoided.sort(key=lambda state: state.failures(now))
        preferred = [s for s in usable if s not in avoided]
        preferred.sort(key=lambda state: ranks[id(state)])
        local = [s for s in preferred if self.is_local(s)]
        remote = [s for s in preferred if not self.is_local(s)]
        if not remote:
            return local, avoided
        # Remote upstreams seldom report, so they count as average for the pool. Local
        # ones that are known to be worse come after them.
        limit = ranks[id(remote[0])] + REMOTE_RANK_PENALTY
        first = [s for s in local if ranks[id(s)] <= limit]
        return first, remote + local[len(first) :] + avoided

    def _rank(self, state, now):
        """Return the rank of an upstream; lower ranks are probed first."""
        slowdown = self.slowdown_of(state, now)
        report = state.report
        if report is not None and now - state.reported_at < MAX_REPORT_AGE_MS:
            running = report.in_flight + report.queued
            slowdown *= 1.0 + max(0.0, running + 1 - BUSY_SHARE * report.slots)
        return slowdown

    def is_local(self, state):
        """Return whether an upstream is in the entry's failure domain."""
        return state.registration.failure_domain == self._failure_domain

    def record_result(self, state, kind, now):
        """Record the result of an attempt.

        :returns: weight of the failure to report to other entries, 0 without a failure
        """
        if kind is AttemptKind.SUCCEEDED:
            state.add_success(now)
            return 0.0
        weight = FAILURE_WEIGHTS.get(kind, 0.0)
        if weight:
            state.add_failure(weight, now)
        return weight

    def add_peer_failure(self, instance, weight, now):
        """Record a failure that another entry observed."""
        state = self._states.get(instance)
        if state is not None:
            state.add_failure(PEER_FAILURE_FACTOR * weight, now)
