"""Chooses an upstream for an attempt.

The upstream has just responded to a probe on the connection that the attempt uses.
"""

import math

from monsoonline.core.fleet_messages import UpstreamLoad
from monsoonline.core.load_shedding import ADMITTED_TIME_SHARE
from monsoonline.core.placement import (
    MAX_PROMISING_SLOWDOWN,
    ProbeResult,
    SlotAllowance,
    choose_probe_result,
    expected_ms,
    has_free_slot,
    is_acceptable,
)
from monsoonline.core.probe_allowance import ProbeAllowance
from monsoonline.entry.prober import is_wanted
from monsoonline.errors import Refusal
from monsoonline.types import Outcome

__all__ = ["DEFAULT_SLOT_ALLOWANCE", "Placer"]

# Number of upstreams compared when the pool reports no load.
UNREPORTED_LOAD_CHOICES = 2
# Used where only the order of the probe results matters, not the free slots.
DEFAULT_SLOT_ALLOWANCE = SlotAllowance()
# Permits that a request asks for, so that a refusal takes a few round trips at most.
MAX_PERMIT_REQUESTS = 3


class Placer:
    """Searches for upstreams and refuses requests that cannot be served in time.

    :param clock: source of time
    :param prober: :class:`monsoonline.entry.prober.UpstreamProber`
    :param sessions: :class:`monsoonline.adapters.upstream_sessions.SessionPool`
    :param pools: :class:`monsoonline.entry.served_pools.ServedPools`
    :param probes_per_second: limit of probes of one upstream, over all entries
    :param entries: returns the number of entries that share the probe budget
    :param on_loads: called with the load reports of each search and the upstream that
        was chosen
    :param permits: :class:`monsoonline.entry.permits.UpstreamPermits`
    :param decisions: :class:`monsoonline.core.request_decisions.RequestDecisions`
    :param metrics: counters
    """

    def __init__(
        self,
        *,
        clock,
        prober,
        sessions,
        pools,
        probes_per_second,
        entries,
        on_loads,
        permits,
        decisions,
        metrics,
    ):
        self._metrics = metrics
        self._clock = clock
        self._prober = prober
        self._sessions = sessions
        self._pools = pools
        self._probes_per_second = probes_per_second
        self._entries = entries
        self._on_loads = on_loads
        self._permits = permits
        self._search = decisions.search
        self._load_shedder = decisions.load_shedder(generator=decisions.generator)

    def use_probe_rate(self, probes_per_second):
        """Set the limit of probes per second of one upstream, over all entries."""
        self._probes_per_second = probes_per_second

    def place(self, task, *, hedge=False):
        """Choose an upstream for the next attempt.

        :param hedge: whether the attempt is a hedge, which needs an upstream with a
            free slot
        :returns: a :class:`monsoonline.entry.prober.ProbedUpstream` whose session is
            held for the attempt
        :raises Refusal: when no upstream is usable or none can respond in time
        """
        slot_allowance = task.pool.overload_detector.slot_allowance(
            urgent=task.pool.rank_of(task.route) == 0
        )
        # Upstreams with a limit come first unless they are slow, so that what they
        # accept relieves the others. A hedge takes no permit from a first attempt.
        limited = None
        if not hedge:
            limited = self._place_limited(task, slot_allowance, MAX_PROMISING_SLOWDOWN)
        if limited is not None:
            return limited
        if task.pool.view.reports_load is False:
            return self._place_without_load(task)
        placed = self._search_unlimited(task, slot_allowance)
        if not hedge and not self._has_free_slot(placed, slot_allowance):
            limited = self._place_limited(task, slot_allowance, math.inf)
        if limited is not None:
            if placed is not None:
                self._sessions.check_in(placed.session)
            return limited
        return self._admit(task, placed, slot_allowance, hedge=hedge)

    def _place_limited(self, task, slot_allowance, max_slowdown):
        """Choose an upstream with a limit for which a permit is issued.

        :param max_slowdown: slowdown above which upstreams are not considered
        :returns: a :class:`monsoonline.entry.prober.ProbedUpstream`, ``None`` if no
            permit was issued or the upstream cannot respond in time
        """
        view, now = task.pool.view, self._clock.now()
        rank = task.pool.rank_of(task.route)
        promising = [
            state
            for state in view.limited(task.excluded)
            if state.permits.allows(now, limit=state.limit.value or 0.0, rank=rank)
            and view.slowdown_of(state, now) <= max_slowdown
        ]
        for state in view.sorted_for_permits(promising, now)[:MAX_PERMIT_REQUESTS]:
            expires_at = self._permits.acquire(state, rank)
            if expires_at is None:
                continue
            placed = self._probe_permitted(task, state, slot_allowance)
            if self._clock.now() >= expires_at:
                # Its owner, or another one, may have issued others since.
                if placed is not None:
                    self._sessions.check_in(placed.session)
                return None
            if placed is not None:
                task.pool.overload_detector.record_search(True)
                return placed
            self._permits.give_back(state)
        return None

    def _probe_permitted(self, task, state, slot_allowance):
        """Probe an upstream for which a permit was issued.

        :returns: a :class:`monsoonline.entry.prober.ProbedUpstream`, ``None`` if the
            upstream cannot respond in time
        """
        for item in self._probe(task, [state], None, slot_allowance):
            admitted = self._may_send(task, item, slot_allowance)
            if item.probe_result.report is not None:
                load = UpstreamLoad(
                    instance=state.registration.instance,
                    report=item.probe_result.report,
                    limit=state.limit.value,
                )
                self._on_loads((load,), load.instance if admitted else "")
            if admitted:
                return item
            self._sessions.check_in(item.session)
        return None

    def _search_unlimited(self, task, slot_allowance):
        """Search for the best upstream without a limit, ``None`` if there is none."""
        view = task.pool.view
        work_ms = self._pools.work_of(task.route).value
        local, remote = view.candidates(self._clock.now(), excluded=task.excluded)
        search = self._search(local=local, remote=remote, allowance=slot_allowance)
        search_end = task.started + self._load_shedder.search_limit_ms(task.route)
        best = held = None
        while states := self._allowed(task, search.next_states(best), best):
            probed = self._probe(task, states, held, slot_allowance)
            search.add(item.probe_result for item in probed)
            now = self._clock.now()
            best = search.best(work_ms, now=now)
            held = self._keep(probed, best)
            if held and (is_acceptable(best, slot_allowance) or now >= search_end):
                break
        if best is not None and held is None:
            held = self._keep(
                self._probe(task, [best.state], None, slot_allowance), None
            )
        task.pool.overload_detector.record_search(
            best is not None and has_free_slot(best, slot_allowance)
        )
        chosen = held.probe_result.state.registration.instance if held else ""
        self._on_loads(search.loads(), chosen)
        return held

    @staticmethod
    def _has_free_slot(placed, slot_allowance):
        return placed is not None and has_free_slot(placed.probe_result, slot_allowance)

    def _allowed(self, task, states, best):
        """Return the upstreams that the probe budget allows to probe.

        The first probe of a request is always allowed, because it also verifies the
        connection.
        """
        rate = ProbeAllowance.rate_of(
            per_upstream=self._probes_per_second,
            upstreams=len(task.pool.view.states),
            entries=self._entries(),
        )
        granted = task.pool.allowance.take(len(states), self._clock.now(), rate=rate)
        return states[: granted if best is not None else max(1, granted)]

    def _probe(self, task, states, held, slot_allowance=DEFAULT_SLOT_ALLOWANCE):
        """Probe upstreams, reusing the held session for the upstream it belongs to."""
        pending_probes = []
        for state in states:
            matches = held is not None and held.probe_result.state is state
            session = held.session if matches else None
            held = None if matches else held
            pending_probes.append(self._prober.open_probe(state, held=session))
        if held is not None:
            self._sessions.check_in(held.session)
        return self._prober.probe_upstreams(
            task.pool.view,
            pending_probes,
            task.pool.probe,
            slot_allowance=slot_allowance,
        )

    def _keep(self, probed, best):
        """Return the item with the best result, the first item if ``best`` is ``None``.

        The sessions of the other items are checked in, as are those of upstreams that
        have just named a limit.
        """
        kept = None
        for item in probed:
            limited = item.probe_result.state.limit.value is not None
            wanted = best is None or item.probe_result is best
            if kept is None and wanted and not limited:
                kept = item
            else:
                self._sessions.check_in(item.session)
        return kept

    def _place_without_load(self, task):
        """Choose by this entry's own requests when the pool reports no load."""
        now = self._clock.now()
        work_ms = self._pools.work_of(task.route).value
        local, remote = task.pool.view.candidates(now, excluded=task.excluded)
        states = (local + remote)[:UNREPORTED_LOAD_CHOICES]
        probe_results = [
            ProbeResult(state=s, local=task.pool.view.is_local(s)) for s in states
        ]
        chosen = choose_probe_result(
            probe_results, work_ms, DEFAULT_SLOT_ALLOWANCE, now=now
        )
        if chosen is None:
            raise self._no_upstream_refusal(task)
        # A response to the probe verifies the connection. The request waits here no
        # longer than the probe timeout, also when the upstream has no free slot.
        probed = self._keep(self._probe(task, [chosen.state], None), None)
        if probed is None:
            task.excluded.add(chosen.state.registration.instance)
            raise self.refusal("the upstream is not reachable", "unreachable")
        return probed

    def _admit(self, task, placed, slot_allowance, *, hedge):
        """Return the chosen upstream if the request may be sent to it.

        :raises Refusal: when it may not, or when ``placed`` is ``None``
        """
        if placed is None:
            raise self._no_upstream_refusal(task)
        if hedge:
            acceptable = is_acceptable(placed.probe_result, slot_allowance)
            allowed = acceptable and self._admits(task, placed, slot_allowance)
        else:
            allowed = self._may_send(task, placed, slot_allowance)
        if allowed:
            return placed
        self._sessions.check_in(placed.session)
        best_ms = self._expected_ms(task, placed, slot_allowance)
        raise self.refusal(
            f"the best upstream would need {best_ms:.0f} ms",
            "overload",
            self._load_shedder.retry_after_ms(best_ms),
        )

    def _may_send(self, task, placed, slot_allowance):
        """Return whether a request is admitted, or sent as a trial of its estimate."""
        return self._admits(task, placed, slot_allowance) or self._is_trial(
            task, placed, slot_allowance
        )

    def _is_trial(self, task, placed, slot_allowance):
        """Return whether a request corrects the estimate that refuses it.

        Only a sound upstream with a free slot gets a trial, and only for an estimate
        that also refuses requests with all their time left.
        """
        fresh_limit_ms = ADMITTED_TIME_SHARE * (task.deadline - task.started)
        if (
            placed.probe_result.state.registration.leaving
            or task.pool.overload_detector.overloaded
            or not is_acceptable(placed.probe_result, slot_allowance)
            or self._expected_ms(task, placed, slot_allowance) <= fresh_limit_ms
            or not self._pools.work_of(task.route).trials.take(self._clock.now())
        ):
            return False
        self._metrics.count("trial_requests_total", route=task.route.name)
        return True

    def _admits(self, task, placed, slot_allowance):
        """Return whether the request would be answered in time by an upstream."""
        now = self._clock.now()
        return not placed.probe_result.state.registration.leaving and (
            self._load_shedder.admits(
                self._expected_ms(task, placed, slot_allowance),
                objective_left_ms=task.started + task.route.success.latency_ms - now,
                time_left_ms=task.deadline - now,
                has_free_slot=has_free_slot(placed.probe_result, slot_allowance),
                overloaded=task.pool.overload_detector.overloaded,
            )
        )

    def _expected_ms(self, task, placed, slot_allowance):
        work_ms = self._pools.work_of(task.route).value
        return expected_ms(
            placed.probe_result, work_ms, slot_allowance, now=self._clock.now()
        )

    def _no_upstream_refusal(self, task):
        """Return the refusal when no upstream may get the request now."""
        view = task.pool.view
        limits = [s.limit.value or 0.0 for s in view.limited()]
        hold_ms = None if view.usable() else view.shortest_hold_ms()
        if hold_ms is not None:
            return self.refusal(
                f"all upstreams want nothing for {hold_ms:.0f} ms or longer",
                "held",
                self._load_shedder.retry_after_ms(None) + hold_ms,
            )
        if not limits:
            return self.refusal("the pool has no usable upstream", "no-upstream")
        return self.refusal(
            f"the {len(limits)} upstreams with a limit accept no more now",
            "limited",
            task.pool.return_schedule.next_delay_ms(
                self._clock.now(), rate=sum(limits) / max(1, self._entries())
            ),
        )

    def probe(self, served, state):
        """Probe one upstream and return whether it is reachable.

        One that wants nothing is not probed; it has responded lately.

        :param served: the :class:`monsoonline.entry.served_pools.ServedPool`
        :param state: the upstream's state
        """
        if served.view.hold_ms(state):
            return True
        started = self._clock.now()
        probed = self._prober.probe_upstreams(
            served.view,
            [self._prober.open_probe(state)],
            served.probe,
            slot_allowance=DEFAULT_SLOT_ALLOWANCE,
        )
        for item in probed:
            self._sessions.check_in(item.session)
        responded = bool(probed) or state.responded_at >= started
        return responded or not is_wanted(served.view, state)

    def refusal(self, message, code, retry_after_ms=None):
        """Return the refusal of a request that has not run."""
        if retry_after_ms is None:
            retry_after_ms = self._load_shedder.retry_after_ms(None)
        return Refusal(
            message,
            code=code,
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after_ms=retry_after_ms,
        )
