"""Chooses an upstream for an attempt.

The upstream has just responded to a probe on the connection that the attempt uses.
"""

from monsoonline.core.placement import (
    ProbeResult,
    SlotAllowance,
    choose_probe_result,
    expected_ms,
    has_free_slot,
    is_acceptable,
)
from monsoonline.core.probe_allowance import ProbeAllowance
from monsoonline.errors import Refusal
from monsoonline.types import Outcome

__all__ = ["DEFAULT_SLOT_ALLOWANCE", "Placer"]

# Number of upstreams compared when the pool reports no load.
UNREPORTED_LOAD_CHOICES = 2
# Used where only the order of the probe results matters, not the free slots.
DEFAULT_SLOT_ALLOWANCE = SlotAllowance()


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
    :param decisions: :class:`monsoonline.core.request_decisions.RequestDecisions`
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
        decisions,
    ):
        self._clock = clock
        self._prober = prober
        self._sessions = sessions
        self._pools = pools
        self._probes_per_second = probes_per_second
        self._entries = entries
        self._on_loads = on_loads
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
        view = task.pool.view
        work_ms = self._pools.work_of(task.route).value
        if view.reports_load is False:
            return self._place_without_load(task, work_ms)
        slot_allowance = task.pool.overload_detector.slot_allowance(
            urgent=task.route.priority <= task.pool.most_urgent_priority
        )
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
        return self._admit(task, held, work_ms, slot_allowance, hedge=hedge)

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

        The sessions of the other items are checked in.
        """
        kept = None
        for item in probed:
            if kept is None and (best is None or item.probe_result is best):
                kept = item
            else:
                self._sessions.check_in(item.session)
        return kept

    def _place_without_load(self, task, work_ms):
        """Choose by this entry's own requests when the pool reports no load."""
        now = self._clock.now()
        local, remote = task.pool.view.candidates(now, excluded=task.excluded)
        states = (local + remote)[:UNREPORTED_LOAD_CHOICES]
        probe_results = [
            ProbeResult(state=s, local=task.pool.view.is_local(s)) for s in states
        ]
        chosen = choose_probe_result(
            probe_results, work_ms, DEFAULT_SLOT_ALLOWANCE, now=now
        )
        if chosen is None:
            raise self.refusal("the pool has no usable upstream", "no-upstream")
        # A response to the probe verifies the connection. The request waits here no
        # longer than the probe timeout, also when the upstream has no free slot.
        probed = self._probe(task, [chosen.state], None)
        if not probed:
            task.excluded.add(chosen.state.registration.instance)
            raise self.refusal("the upstream is not reachable", "unreachable")
        return probed[0]

    def _admit(self, task, best, work_ms, slot_allowance, *, hedge):
        now = self._clock.now()
        if best is None:
            raise self.refusal("the pool has no usable upstream", "no-upstream")
        best_ms = expected_ms(best.probe_result, work_ms, slot_allowance, now=now)
        admitted = self._load_shedder.admits(
            best_ms,
            objective_left_ms=task.started + task.route.success.latency_ms - now,
            time_left_ms=task.deadline - now,
            has_free_slot=has_free_slot(best.probe_result, slot_allowance),
            overloaded=task.pool.overload_detector.overloaded,
        )
        leaving = best.probe_result.state.registration.leaving
        if (
            leaving
            or not admitted
            or (hedge and not is_acceptable(best.probe_result, slot_allowance))
        ):
            self._sessions.check_in(best.session)
            raise self.refusal(
                f"the best upstream would need {best_ms:.0f} ms",
                "overload",
                self._load_shedder.retry_after_ms(best_ms),
            )
        return best

    def is_reachable(self, task, state):
        """Return whether an upstream still responds after it closed a connection."""
        probed = self._probe(task, [state], None)
        for item in probed:
            self._sessions.check_in(item.session)
        return bool(probed)

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
