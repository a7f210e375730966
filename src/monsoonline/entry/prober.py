"""Probes the load of several upstreams at once."""

import logging
import select

from monsoonline.adapters.upstream_sessions import SessionFailed
from monsoonline.core.placement import ProbeResult, is_acceptable
from monsoonline.core.response_classification import MISDIRECTED_STATUS

__all__ = ["PendingProbe", "ProbedUpstream", "UpstreamProber", "is_wanted"]

# Longest wait for the first response; a healthy upstream responds within a round trip.
PROBE_TIMEOUT_MS = 60.0
# Longest wait for further responses after the first: several round trips between
# failure domains. A longer wait for a failed upstream would use up the time in which
# others can be probed.
FURTHER_RESPONSE_MS = 15.0
HEALTHY_STATUS = 200

logger = logging.getLogger(__name__)


class ProbedUpstream:
    """The result of a probe, with the session on which the upstream responded.

    :param probe_result: the :class:`monsoonline.core.placement.ProbeResult`
    :param session: verified session, ready for a request
    """

    __slots__ = ("probe_result", "session")

    def __init__(self, *, probe_result, session):
        self.probe_result = probe_result
        self.session = session


class PendingProbe:
    """A probe of one upstream that has no response yet.

    :param state: the upstream's state
    :param session: session on which the probe is sent
    :param is_retry: whether an earlier probe of the upstream failed in this round
    """

    __slots__ = ("is_retry", "reused", "sent_at", "session", "state")

    def __init__(self, *, state, session, is_retry=False):
        self.state = state
        self.session = session
        self.is_retry = is_retry
        # Instant in ms at which the probe was sent.
        self.sent_at = None
        # The loss of a session that was open before is no sign of a failed upstream:
        # an idle connection may have been closed.
        self.reused = session.connected


class ProbeRound:
    """The pending probes, by file descriptor.

    :param probe: the :class:`monsoonline.adapters.upstream_sessions.Probe`
    :param deadline: instant in ms at which the wait for responses ends
    :param poller: poll object with the interface of :func:`select.poll`
    """

    def __init__(self, *, probe, deadline, poller):
        self.probe = probe
        self.deadline = deadline
        self.pending_probes = {}
        self._poller = poller

    def add(self, pending, events):
        """Register the socket of a probe with the poller."""
        descriptor = pending.session.fileno()
        self.pending_probes[descriptor] = pending
        self._poller.register(descriptor, events)

    def wait(self, now):
        """Return the probes whose sockets are ready, none after the deadline."""
        wait_ms = self.deadline - now
        if wait_ms <= 0:
            return []
        ready = []
        for descriptor, _ in self._poller.poll(max(1.0, wait_ms)):
            self._poller.unregister(descriptor)
            ready.append(self.pending_probes.pop(descriptor))
        return ready


def is_wanted(view, state):
    """Return whether an upstream wants the request that it is probed for.

    :param view: the :class:`monsoonline.core.upstream_view.UpstreamView` of its pool
    :param state: its :class:`monsoonline.core.upstream_view.UpstreamState`
    """
    return not (state.registration.leaving or view.hold_ms(state))


class UpstreamProber:
    """Probes upstreams over pooled sessions.

    :param clock: source of time
    :param sessions: :class:`monsoonline.adapters.upstream_sessions.SessionPool`
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param parse_load: parses a load header into a
        :class:`monsoonline.types.LoadReport`, ``None`` if it is not valid
    :param on_unreachable: called with the state of an upstream that did not respond
    :param on_slow_probe: called with the state of an upstream that did not respond
        on a new connection shortly after another upstream had responded
    :param limits: :class:`monsoonline.entry.limit_reader.LimitReader`
    :param notices: :class:`monsoonline.entry.upstream_notices.UpstreamNotices`
    :param metrics: counters
    :param poller: returns a poll object with the interface of :func:`select.poll`
    """

    def __init__(
        self,
        *,
        clock,
        sessions,
        names,
        parse_load,
        on_unreachable,
        on_slow_probe,
        limits,
        notices,
        metrics,
        poller=select.poll,
    ):
        self._notices = notices
        self._poller = poller
        self._clock = clock
        self._sessions = sessions
        self._names = names
        self._parse_load = parse_load
        self._on_unreachable = on_unreachable
        self._on_slow_probe = on_slow_probe
        self._limits = limits
        self._metrics = metrics

    def open_probe(self, state, *, held=None):
        """Return a :class:`PendingProbe` of an upstream; nothing is sent yet.

        :param state: the upstream's state
        :param held: session to the upstream that the request already holds
        """
        session = held or self._sessions.checkout(state.address)
        return PendingProbe(state=state, session=session)

    def probe_upstreams(
        self,
        view,
        pending_probes,
        probe,
        *,
        slot_allowance,
        timeout_ms=PROBE_TIMEOUT_MS,
    ):
        """Probe upstreams and return their results.

        Returns at the first good result, or shortly after the first result of any
        kind. After a good result, the sessions of pending probes stay open: their
        responses are skipped when the session is used again.

        :param view: the :class:`monsoonline.core.upstream_view.UpstreamView`
        :param pending_probes: the :class:`PendingProbe` items to send
        :param probe: the :class:`monsoonline.adapters.upstream_sessions.Probe`
        :param slot_allowance:
            :class:`monsoonline.core.placement.SlotAllowance` of the request
        :param timeout_ms: longest wait for a response
        :returns: list of :class:`ProbedUpstream`
        """
        probe_round = ProbeRound(
            probe=probe, deadline=self._clock.now() + timeout_ms, poller=self._poller()
        )
        for pending in pending_probes:
            self._start(probe_round, pending)
        probed_upstreams = []
        good = False
        while probe_round.pending_probes and not good:
            ready = probe_round.wait(self._clock.now())
            if not ready:
                break
            for pending in ready:
                probed = self._advance(probe_round, pending, view)
                if probed is not None:
                    probed_upstreams.append(probed)
                    good = good or is_acceptable(probed.probe_result, slot_allowance)
            if probed_upstreams:
                further_deadline = self._clock.now() + FURTHER_RESPONSE_MS
                probe_round.deadline = min(probe_round.deadline, further_deadline)
        self._release(
            probe_round.pending_probes.values(),
            good=good,
            responded=bool(probed_upstreams),
        )
        return probed_upstreams

    def _start(self, probe_round, pending):
        """Send the probe, or begin to connect."""
        session = pending.session
        try:
            if session.connected:
                self._send(probe_round, pending)
                return
            if not session.connecting:
                session.begin_connect()
            probe_round.add(pending, select.POLLOUT)
        except (OSError, SessionFailed) as error:
            self._retry_or_give_up(probe_round, pending, error)

    def _send(self, probe_round, pending):
        self._metrics.count("upstream_probes_total")
        if pending.state.limit.value is not None:
            self._metrics.count("probes_of_limited_upstreams_total")
        pending.sent_at = self._clock.now()
        pending.session.send_probe(
            probe_round.probe, pending.state.registration.instance
        )
        probe_round.add(pending, select.POLLIN)

    def _advance(self, probe_round, pending, view):
        """Continue a probe whose socket is ready.

        :returns: the :class:`ProbedUpstream` once the upstream has responded, otherwise
            ``None``
        """
        try:
            if pending.session.connected:
                response = pending.session.read_probe()
                if response is None:
                    probe_round.add(pending, select.POLLIN)
                    return None
                self._read_notices(pending.state, response)
                if not is_wanted(view, pending.state):
                    self._sessions.check_in(pending.session)
                    return None
                if pending.session.reusable:
                    return self._read_result(pending, view, response)
                # The peer closes it, or has sent bytes that belong to no probe.
                self._retry_or_give_up(
                    probe_round, pending, "the session cannot be reused", responded=True
                )
                return None
            pending.session.end_connect()
            self._metrics.count("upstream_connections_total")
            self._send(probe_round, pending)
        except (OSError, SessionFailed) as error:
            self._retry_or_give_up(probe_round, pending, error)
        return None

    def _retry_or_give_up(self, probe_round, pending, error, *, responded=False):
        """Probe once more over a new connection if the upstream may be reachable.

        :param responded: whether the upstream responded on the failed session
        """
        pending.session.close()
        if pending.is_retry or not (pending.reused or responded):
            logger.debug("upstream is unreachable", extra={"error": str(error)})
            self._on_unreachable(pending.state)
            return
        self._metrics.count("upstream_sessions_lost_total")
        session = self._sessions.open_new(pending.state.address)
        self._start(
            probe_round,
            PendingProbe(state=pending.state, session=session, is_retry=True),
        )

    def _read_notices(self, state, response):
        """Apply the notices of a probe response, unless it names another upstream.

        Responses to probes need not have the id of the probe, and those of a
        connection that is about to close are not used otherwise.
        """
        instance = response.header(self._names.instance)
        if instance in (None, state.registration.instance):
            self._notices.read(state, response, identified=instance is not None)

    def _read_result(self, pending, view, response):
        state = pending.state
        state.responded_at = self._clock.now()
        instance = response.header(self._names.instance)
        if response.status == MISDIRECTED_STATUS or (
            instance is not None and instance != state.registration.instance
        ):
            state.misdirected = True
            self._metrics.count("upstream_misdirected_total")
            pending.session.close()
            return None
        text = response.header(self._names.load)
        report = None if text is None else self._parse_load(text)
        if view.reports_load is None or report is not None:
            view.reports_load = report is not None
        if report is not None:
            view.record_report(state, report, self._clock.now())
        self._limits.read(state, response, sent_at=pending.sent_at)
        healthy = response.status == HEALTHY_STATUS
        view.record_health(state, healthy and instance is not None)
        if not view.is_confirmed(state):
            self._metrics.count("unconfirmed_upstreams_probed_total")
            self._sessions.check_in(pending.session)
            return None
        probe_result = ProbeResult(
            state=state,
            report=report,
            local=view.is_local(state),
            healthy=healthy,
            slowdown=view.slowdown_of(state, self._clock.now()),
        )
        return ProbedUpstream(probe_result=probe_result, session=pending.session)

    def _release(self, pending_probes, *, good, responded):
        """Release the sessions of probes that have no response.

        :param good: whether a good result ended the wait early
        :param responded: whether another upstream responded; the wait for the others
            was then so short that a missing response is weak evidence of a failure
        """
        for pending in pending_probes:
            if good:
                self._sessions.check_in(pending.session)
                continue
            pending.session.close()
            if pending.reused:
                # An unresponsive reused connection does not show that its upstream
                # failed, but the other idle ones may be unresponsive too. The next
                # probe uses a new connection.
                self._sessions.close_idle(pending.state.address)
                self._metrics.count("upstream_sessions_lost_total")
            elif responded:
                self._on_slow_probe(pending.state)
            else:
                self._on_unreachable(pending.state)
