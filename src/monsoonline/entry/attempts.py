"""Attempts of requests at upstreams: how one is sent and what is learned from it."""

import logging

from monsoonline.adapters.upstream_sessions import SessionFailed
from monsoonline.core.decision_events import AttemptEnded, UpstreamChosen
from monsoonline.core.placement import expected_ms
from monsoonline.entry.placer import ANY_ROOM
from monsoonline.entry.request_task import Leg
from monsoonline.types import AttemptKind

__all__ = ["Attempts"]

logger = logging.getLogger(__name__)


class Attempts:
    """Sends and settles attempts.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param parse_load: turns the text of a load header into a
        :class:`monsoonline.types.LoadReport`, or ``None``
    :param sessions: :class:`monsoonline.adapters.upstream_sessions.SessionPool`
    :param pools: :class:`monsoonline.entry.served_pools.ServedPools`
    :param crashes: :class:`monsoonline.core.crashes.CrashTracker`
    :param decisions: :class:`monsoonline.core.request_decisions.RequestDecisions`
    """

    def __init__(
        self, *, clock, names, parse_load, sessions, pools, crashes, decisions
    ):
        self._hedge_timer_class = decisions.hedge_timer
        self._clock = clock
        self._names = names
        self._parse_load = parse_load
        self._sessions = sessions
        self._pools = pools
        self._crashes = crashes

    def send(self, task, placed, *, hedge=False):
        """Send the request to the upstream that was found for it.

        :param task: the :class:`monsoonline.entry.request_task.Task`
        :param placed: the :class:`monsoonline.entry.prober.ProbedOffer`
        :param hedge: whether an earlier attempt is still open
        """
        state = placed.offer.state
        now = self._clock.now()
        leg = Leg(
            offer=placed.offer,
            session=placed.session,
            sent_at=now,
            expected_ms=expected_ms(
                placed.offer, self._pools.work_of(task.route).value, ANY_ROOM, now=now
            ),
        )
        task.legs.append(leg)
        task.sends += 1
        task.trail.add(self._chosen(task, leg, hedge=hedge))
        task.excluded.add(state.registration.instance)
        self._pools.note_sent(state)
        self._crashes.started(state.address, task.fingerprint)
        task.hedge = None if hedge else self._hedge_timer(task, leg)
        try:
            leg.session.send_request(
                task.request,
                headers=self._headers(task, state, now),
                deadline=task.deadline,
            )
        except SessionFailed as error:
            logger.debug("send failed", extra={"error": str(error)})
            # Found again, and judged, when the answer is read.

    def finish(self, task, leg, kind, *, reachable=True, status=None):
        """Settle an attempt: learn from it and keep or close its session.

        :param task: the request
        :param leg: the attempt
        :param kind: the :class:`monsoonline.types.AttemptKind`
        :param reachable: whether the upstream still takes connections
        :param status: the upstream's status, ``None`` without an answer
        """
        if leg not in task.legs:
            return
        task.legs.remove(leg)
        state = leg.offer.state
        latency_ms = self._clock.now() - leg.sent_at
        task.trail.add(
            AttemptEnded(
                upstream=state.registration.instance,
                result=kind.value,
                status=status,
                took_ms=latency_ms,
            )
        )
        self._pools.note_ended(task.pool, state, kind)
        if kind is AttemptKind.SUCCEEDED and leg.offer.report is not None:
            self._pools.learn_work(task.route, task.pool, leg.offer, latency_ms)
        if not reachable:
            self._crashes.connection_lost(state.address, task.fingerprint)
        else:
            completed = kind in (AttemptKind.SUCCEEDED, AttemptKind.FAILED_ANSWER)
            self._crashes.finished(state.address, task.fingerprint, completed=completed)
        if kind in (AttemptKind.TIMED_OUT, AttemptKind.CONNECTION_LOST):
            leg.session.close()
        else:
            self._sessions.check_in(leg.session)

    def abandon(self, task):
        """Stop the attempts that are still open; upstreams drop their work."""
        for leg in list(task.legs):
            leg.session.close()
            self.finish(task, leg, AttemptKind.CANCELLED)

    def learn_load(self, task, leg, answer):
        """Use the load report on an answer."""
        text = answer.header(self._names.load)
        report = None if text is None else self._parse_load(text)
        if report is not None:
            task.pool.view.record_report(leg.offer.state, report, self._clock.now())

    def _chosen(self, task, leg, *, hedge):
        """Return the event of an attempt that is about to be sent."""
        offer = leg.offer
        state = offer.state
        return UpstreamChosen(
            upstream=state.registration.instance,
            attempt=task.sends,
            second=hedge,
            running=offer.running,
            slots=offer.slots,
            pace=offer.slowdown,
            report_age_ms=None
            if state.report is None
            else leg.sent_at - state.reported_at,
            expected_ms=leg.expected_ms,
        )

    def _headers(self, task, state, now):
        own = (self._names.deadline_ms.lower(), self._names.intended_instance.lower())
        left_ms = max(1, int(task.deadline - now))
        return (
            *(pair for pair in task.request.headers if pair[0].lower() not in own),
            (self._names.deadline_ms, str(left_ms)),
            (self._names.intended_instance, state.registration.instance),
        )

    def _hedge_timer(self, task, leg):
        """Return the timer of a second attempt, ``None`` where none is allowed."""
        if not task.route.idempotent or task.sends_left < 1:
            return None
        return self._hedge_timer_class(
            objective_at=task.started + task.route.success.latency_ms,
            sent_at=leg.sent_at,
            expected_ms=leg.expected_ms,
            service_time=self._pools.work_of(task.route),
            slowdown=leg.offer.slowdown,
        )
