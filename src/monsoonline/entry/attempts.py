"""Sends attempts of requests to upstreams and records their results."""

import logging

from monsoonline.adapters.upstream_sessions import SessionFailed
from monsoonline.core.decision_events import AttemptEnded, UpstreamChosen
from monsoonline.core.placement import expected_ms
from monsoonline.entry.placer import DEFAULT_SLOT_ALLOWANCE
from monsoonline.entry.request_task import SentAttempt
from monsoonline.types import AttemptKind

__all__ = ["Attempts"]

# Results after which the session is reused. A refusal that is written once more has the
# id of its request, so it would pass for the response to a second send.
REUSE_KINDS = frozenset((AttemptKind.SUCCEEDED, AttemptKind.FAILED_RESPONSE))

logger = logging.getLogger(__name__)


class Attempts:
    """Sends attempts, and updates the statistics when they end.

    :param clock: source of time
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param parse_load: parses a load header into a
        :class:`monsoonline.types.LoadReport`, ``None`` if it is not valid
    :param sessions: :class:`monsoonline.adapters.upstream_sessions.SessionPool`
    :param pools: :class:`monsoonline.entry.served_pools.ServedPools`
    :param crashes: :class:`monsoonline.core.crashes.CrashTracker`
    :param limits: :class:`monsoonline.entry.limit_reader.LimitReader`
    :param notices: :class:`monsoonline.entry.upstream_notices.UpstreamNotices`
    :param metrics: counters
    :param decisions: :class:`monsoonline.core.request_decisions.RequestDecisions`
    """

    def __init__(
        self,
        *,
        clock,
        names,
        parse_load,
        sessions,
        pools,
        crashes,
        limits,
        notices,
        metrics,
        decisions,
    ):
        self._notices = notices
        self._hedge_timer_class = decisions.hedge_timer
        self._clock = clock
        self._names = names
        self._parse_load = parse_load
        self._sessions = sessions
        self._pools = pools
        self._crashes = crashes
        self._limits = limits
        self._metrics = metrics

    def send(self, task, placed, *, hedge=False):
        """Send the request to the chosen upstream.

        :param task: the :class:`monsoonline.entry.request_task.Task`
        :param placed: the chosen :class:`monsoonline.entry.prober.ProbedUpstream`
        :param hedge: whether an earlier attempt is still open
        """
        state = placed.probe_result.state
        now = self._clock.now()
        attempt = SentAttempt(
            probe_result=placed.probe_result,
            session=placed.session,
            sent_at=now,
            expected_ms=expected_ms(
                placed.probe_result,
                self._pools.work_of(task.route).value,
                DEFAULT_SLOT_ALLOWANCE,
                now=now,
            ),
        )
        self._count_limited(task, state, hedge=hedge)
        task.open_attempts.append(attempt)
        task.attempts_sent += 1
        task.trail.add(self._chosen_event(task, attempt, hedge=hedge))
        task.excluded.add(state.registration.instance)
        self._pools.note_sent(state)
        self._crashes.started(state.address, task.fingerprint)
        task.hedge_timer = None if hedge else self._hedge_timer(task, attempt)
        try:
            attempt.session.send_request(
                task.request,
                headers=self._headers(task, state, now),
                deadline=task.deadline,
            )
        except SessionFailed as error:
            logger.debug("sending to the upstream failed", extra={"error": str(error)})
            # Reading the response fails as well and records the result.

    def finish(self, task, attempt, kind, *, reachable=True, status=None):
        """Record the end of an attempt, and reuse or close its session.

        Does nothing for an attempt that has already ended.

        :param task: the request
        :param attempt: the :class:`monsoonline.entry.request_task.SentAttempt`
        :param kind: the :class:`monsoonline.types.AttemptKind`
        :param reachable: whether the upstream still accepts connections
        :param status: HTTP status of the response, ``None`` without one
        """
        if attempt not in task.open_attempts:
            return
        task.open_attempts.remove(attempt)
        state = attempt.probe_result.state
        latency_ms = self._clock.now() - attempt.sent_at
        task.trail.add(
            AttemptEnded(
                upstream=state.registration.instance,
                result=kind.value,
                status=status,
                took_ms=latency_ms,
            )
        )
        self._pools.note_ended(task.pool, state, kind)
        if kind is AttemptKind.SUCCEEDED and attempt.probe_result.report is not None:
            self._pools.update_work(
                task.route, task.pool, attempt.probe_result, latency_ms
            )
        if not reachable:
            self._crashes.connection_lost(state.address, task.fingerprint)
        else:
            completed = kind in (AttemptKind.SUCCEEDED, AttemptKind.FAILED_RESPONSE)
            self._crashes.finished(state.address, task.fingerprint, completed=completed)
        if kind in REUSE_KINDS:
            self._sessions.check_in(attempt.session)
        else:
            attempt.session.close()

    def cancel_open(self, task):
        """Cancel the open attempts.

        Closing their sessions lets the upstreams stop working on the request.
        """
        for attempt in list(task.open_attempts):
            attempt.session.close()
            self.finish(task, attempt, AttemptKind.CANCELLED)

    def record_reports(self, task, attempt, response):
        """Record the load report, the limit and the notices that a response states."""
        self._notices.read(attempt.probe_result.state, response)
        self._limits.read(attempt.probe_result.state, response, sent_at=attempt.sent_at)
        text = response.header(self._names.load)
        report = None if text is None else self._parse_load(text)
        if report is not None:
            task.pool.view.record_report(
                attempt.probe_result.state, report, self._clock.now()
            )

    def _count_limited(self, task, state, *, hedge):
        """Count an attempt at an upstream that has named a limit."""
        if state.limit.value is None:
            return
        kind = "hedge" if hedge else "repeat" if task.attempts_sent else "first"
        self._metrics.count("attempts_at_limited_upstreams_total", kind=kind)

    def _chosen_event(self, task, attempt, *, hedge):
        """Return the decision event of an attempt that is about to be sent."""
        probe_result = attempt.probe_result
        state = probe_result.state
        return UpstreamChosen(
            upstream=state.registration.instance,
            attempt=task.attempts_sent,
            second=hedge,
            running=probe_result.running,
            slots=probe_result.slots,
            limit=state.limit.value,
            pace=probe_result.slowdown,
            report_age_ms=None
            if state.report is None
            else attempt.sent_at - state.reported_at,
            expected_ms=attempt.expected_ms,
        )

    def _headers(self, task, state, now):
        replaced = (
            self._names.deadline_ms.lower(),
            self._names.intended_instance.lower(),
        )
        left_ms = max(1, int(task.deadline - now))
        return (
            *(pair for pair in task.request.headers if pair[0].lower() not in replaced),
            (self._names.deadline_ms, str(left_ms)),
            (self._names.intended_instance, state.registration.instance),
        )

    def _hedge_timer(self, task, attempt):
        """Return the timer of a hedge, ``None`` when the route allows no hedge."""
        if not task.route.idempotent or task.attempts_left < 1:
            return None
        return self._hedge_timer_class(
            objective_at=task.started + task.route.success.latency_ms,
            sent_at=attempt.sent_at,
            expected_ms=attempt.expected_ms,
            service_time=self._pools.work_of(task.route),
            slowdown=attempt.probe_result.slowdown,
        )
