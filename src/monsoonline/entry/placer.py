"""Finds an upstream for an attempt, on a connection that was just proved."""

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

__all__ = ["ANY_ROOM", "Placer"]

# Upstreams compared where they report no load.
UNASKED_CHOICES = 2
# Where only the order of offers matters.
ANY_ROOM = SlotAllowance()


class Placer:
    """Searches upstreams and admits requests.

    :param clock: source of time
    :param prober: :class:`monsoonline.entry.prober.UpstreamProber`
    :param sessions: :class:`monsoonline.adapters.upstream_sessions.SessionPool`
    :param pools: :class:`monsoonline.entry.served_pools.ServedPools`
    :param probes_per_second: probes that one upstream may get from all entries
    :param entries: returns the number of entries that share the budgets
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
        self._turning_away = decisions.load_shedder(generator=decisions.generator)

    def use_probe_rate(self, probes_per_second):
        """Use a changed rate of probes that one upstream may get from all entries."""
        self._probes_per_second = probes_per_second

    def place(self, task, *, hedge=False):
        """Find an upstream for the next attempt.

        :param hedge: whether only an upstream that is free at once will do
        :returns: a :class:`monsoonline.entry.prober.ProbedOffer` whose session is held
        :raises Refusal: when the request is not worth sending
        """
        view = task.pool.view
        work_ms = self._pools.work_of(task.route).value
        if view.reports_load is False:
            return self._place_unasked(task, work_ms)
        room = task.pool.crowding.slot_allowance(
            urgent=task.route.priority <= task.pool.most_urgent
        )
        near, far = view.candidates(self._clock.now(), excluded=task.excluded)
        search = self._search(local=near, remote=far, allowance=room)
        search_end = task.started + self._turning_away.search_limit_ms(task.route)
        best = held = None
        while states := self._allowed(task, search.next_states(best), best):
            probed = self._ask(task, states, held, room)
            search.add(item.offer for item in probed)
            now = self._clock.now()
            best = search.best(work_ms, now=now)
            held = self._keep(probed, best)
            if held and (is_acceptable(best, room) or now >= search_end):
                break
        if best is not None and held is None:
            held = self._keep(self._ask(task, [best.state], None, room), None)
        task.pool.crowding.record_search(best is not None and has_free_slot(best, room))
        chosen = held.offer.state.registration.instance if held else ""
        self._on_loads(search.loads(), chosen)
        return self._admit(task, held, work_ms, room, hedge=hedge)

    def _allowed(self, task, states, best):
        """Return the upstreams that the measuring budget allows to ask.

        The first question of a request is always asked: it also proves the connection.
        """
        rate = ProbeAllowance.rate_of(
            per_upstream=self._probes_per_second,
            upstreams=len(task.pool.view.states),
            entries=self._entries(),
        )
        granted = task.pool.allowance.take(len(states), self._clock.now(), rate=rate)
        return states[: granted if best is not None else max(1, granted)]

    def _ask(self, task, states, held, room=ANY_ROOM):
        """Ask some upstreams, over the held session where it leads to one of them."""
        questions = []
        for state in states:
            own = held is not None and held.offer.state is state
            session = held.session if own else None
            held = None if own else held
            questions.append(self._prober.question(state, held=session))
        if held is not None:
            self._sessions.check_in(held.session)
        return self._prober.ask(task.pool.view, questions, task.pool.probe, room=room)

    def _keep(self, probed, best):
        """Keep the session of the best offer, of any without one; give back others."""
        kept = None
        for item in probed:
            if kept is None and (best is None or item.offer is best):
                kept = item
            else:
                self._sessions.check_in(item.session)
        return kept

    def _place_unasked(self, task, work_ms):
        """Choose by this entry's own requests where upstreams report no load."""
        now = self._clock.now()
        near, far = task.pool.view.candidates(now, excluded=task.excluded)
        states = (near + far)[:UNASKED_CHOICES]
        offers = [
            ProbeResult(state=s, local=task.pool.view.is_local(s)) for s in states
        ]
        chosen = choose_probe_result(offers, work_ms, ANY_ROOM, now=now)
        if chosen is None:
            raise self.refusal("the pool has no usable upstream", "no-upstream")
        # The answer to a probe proves the connection; it waits for no slot here
        # longer than the probe may take.
        asked = self._ask(task, [chosen.state], None)
        if not asked:
            task.excluded.add(chosen.state.registration.instance)
            raise self.refusal("the upstream is not reachable", "unreachable")
        return asked[0]

    def _admit(self, task, best, work_ms, room, *, hedge):
        now = self._clock.now()
        if best is None:
            raise self.refusal("the pool has no usable upstream", "no-upstream")
        best_ms = expected_ms(best.offer, work_ms, room, now=now)
        admitted = self._turning_away.admits(
            best_ms,
            objective_left_ms=task.started + task.route.success.latency_ms - now,
            time_left_ms=task.deadline - now,
            has_free_slot=has_free_slot(best.offer, room),
            overloaded=task.pool.crowding.overloaded,
        )
        leaving = best.offer.state.registration.leaving
        if leaving or not admitted or (hedge and not is_acceptable(best.offer, room)):
            self._sessions.check_in(best.session)
            raise self.refusal(
                f"the best upstream would need {best_ms:.0f} ms",
                "overload",
                self._turning_away.retry_after_ms(best_ms),
            )
        return best

    def is_reachable(self, task, state):
        """Tell whether an upstream goes on after it broke off an exchange."""
        probed = self._ask(task, [state], None)
        for item in probed:
            self._sessions.check_in(item.session)
        return bool(probed)

    def refusal(self, message, code, retry_after_ms=None):
        """Return the refusal of a request that has not run."""
        if retry_after_ms is None:
            retry_after_ms = self._turning_away.retry_after_ms(None)
        return Refusal(
            message,
            code=code,
            outcome=Outcome.NOT_RUN,
            status=503,
            retry_after_ms=retry_after_ms,
        )
