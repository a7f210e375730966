"""Asks several upstreams at once how busy they are."""

import logging
import select

from monsoonline.adapters.upstream_sessions import SessionFailed
from monsoonline.core.placement import ProbeResult, is_acceptable

__all__ = ["ProbedOffer", "Question", "UpstreamProber"]

# Longest wait for the first answers; a healthy upstream answers within a round trip.
PROBE_MS = 60.0
# Longest wait for further answers after the first: several round trips between failure
# domains. Waiting longer for an upstream that is gone would use up the time in which
# others can be asked.
FURTHER_MS = 15.0
HEALTHY_STATUS = 200

logger = logging.getLogger(__name__)


class ProbedOffer:
    """An offer with the connection on which the upstream made it.

    :param offer: the :class:`monsoonline.core.placement.ProbeResult`
    :param session: the proved session, ready for a request
    """

    __slots__ = ("offer", "session")

    def __init__(self, *, offer, session):
        self.offer = offer
        self.session = session


class Question:
    """One upstream that is being asked.

    :param state: the upstream's state
    :param session: the session used
    """

    __slots__ = ("reused", "session", "state")

    def __init__(self, *, state, session):
        self.state = state
        self.session = session
        # Whether the session was open before, so that its loss says nothing yet.
        self.reused = session.connected


class Round:
    """The questions that are open, by descriptor.

    :param probe: the :class:`monsoonline.adapters.upstream_sessions.Probe`
    :param deadline: instant in ms until which answers are awaited
    :param poller: an object like :func:`select.poll` returns
    """

    def __init__(self, *, probe, deadline, poller):
        self.probe = probe
        self.deadline = deadline
        self.questions = {}
        self._poller = poller

    def add(self, question, events):
        """Wait for a question's socket."""
        descriptor = question.session.fileno()
        self.questions[descriptor] = question
        self._poller.register(descriptor, events)

    def wait(self, now):
        """Return the questions whose sockets are ready, none when time is up."""
        wait_ms = self.deadline - now
        if wait_ms <= 0:
            return []
        ready = []
        for descriptor, _ in self._poller.poll(max(1.0, wait_ms)):
            self._poller.unregister(descriptor)
            ready.append(self.questions.pop(descriptor))
        return ready


class UpstreamProber:
    """Probes upstreams over sessions of a pool.

    :param clock: source of time
    :param sessions: :class:`monsoonline.adapters.upstream_sessions.SessionPool`
    :param names: :class:`monsoonline.core.header_names.HeaderNames`
    :param parse_load: turns the text of a load header into a
        :class:`monsoonline.types.LoadReport`, ``None`` where it is not valid
    :param on_unreachable: called with the state of an upstream that gave no answer
    :param on_late: called with the state of an upstream that accepted no connection
        for a short time while another one answered
    :param metrics: counters
    :param poller: returns an object like :func:`select.poll`
    """

    def __init__(
        self,
        *,
        clock,
        sessions,
        names,
        parse_load,
        on_unreachable,
        on_late,
        metrics,
        poller=select.poll,
    ):
        self._poller = poller
        self._clock = clock
        self._sessions = sessions
        self._names = names
        self._parse_load = parse_load
        self._on_unreachable = on_unreachable
        self._on_late = on_late
        self._metrics = metrics

    def question(self, state, *, held=None):
        """Return a :class:`Question` for an upstream.

        :param state: the upstream
        :param held: a session to it that the asking task already has
        """
        session = held or self._sessions.checkout(state.address)
        return Question(state=state, session=session)

    def ask(self, view, questions, probe, *, room, timeout_ms=PROBE_MS):
        """Ask some upstreams and return their offers.

        Returns as soon as one offer is good, or soon after the first. Questions that
        are still open then stay so: their answers are skipped when the session is used
        again.

        :param view: the :class:`monsoonline.core.upstream_view.UpstreamView`
        :param questions: the :class:`Question` items to ask
        :param probe: the :class:`monsoonline.adapters.upstream_sessions.Probe`
        :param room: the request's :class:`monsoonline.core.placement.SlotAllowance`
        :param timeout_ms: longest wait
        :returns: list of :class:`ProbedOffer`
        """
        asking = Round(
            probe=probe, deadline=self._clock.now() + timeout_ms, poller=self._poller()
        )
        for question in questions:
            self._start(asking, question)
        offers = []
        good = False
        while asking.questions and not good:
            ready = asking.wait(self._clock.now())
            if not ready:
                break
            for question in ready:
                offer = self._advance(asking, question, view)
                if offer is not None:
                    offers.append(offer)
                    good = good or is_acceptable(offer.offer, room)
            if offers:
                further = self._clock.now() + FURTHER_MS
                asking.deadline = min(asking.deadline, further)
        self._leave(asking.questions.values(), good=good, answered=bool(offers))
        return offers

    def _start(self, asking, question):
        """Send the question, or begin to connect."""
        session = question.session
        try:
            if session.connected:
                self._send(asking, question)
                return
            if not session.connecting:
                session.begin_connect()
            asking.add(question, select.POLLOUT)
        except (OSError, SessionFailed) as error:
            self._retry_or_give_up(asking, question, error)

    def _send(self, asking, question):
        self._metrics.count("upstream_probes_total")
        question.session.send_probe(asking.probe)
        asking.add(question, select.POLLIN)

    def _advance(self, asking, question, view):
        """Go on with a question whose socket is ready; return its offer, if any."""
        try:
            if question.session.connected:
                answer = question.session.read_probe(deadline=asking.deadline)
                return self._offer(question, view, answer)
            question.session.end_connect()
            self._metrics.count("upstream_connections_total")
            self._send(asking, question)
        except (OSError, SessionFailed) as error:
            self._retry_or_give_up(asking, question, error)
        return None

    def _retry_or_give_up(self, asking, question, error):
        """Ask again over a new connection where an idle one turned out to be lost."""
        question.session.close()
        if not question.reused:
            logger.debug("upstream unreachable", extra={"error": str(error)})
            self._on_unreachable(question.state)
            return
        self._metrics.count("upstream_sessions_lost_total")
        session = self._sessions.open_new(question.state.address)
        self._start(asking, Question(state=question.state, session=session))

    def _offer(self, question, view, answer):
        state = question.state
        instance = answer.header(self._names.instance)
        if instance is not None and instance != state.registration.instance:
            state.misdirected = True
            self._metrics.count("upstream_misdirected_total")
            question.session.close()
            return None
        text = answer.header(self._names.load)
        report = None if text is None else self._parse_load(text)
        if view.reports_load is None or report is not None:
            view.reports_load = report is not None
        if report is not None:
            view.record_report(state, report, self._clock.now())
        offer = ProbeResult(
            state=state,
            report=report,
            local=view.is_local(state),
            healthy=answer.status == HEALTHY_STATUS,
            slowdown=view.slowdown_of(state, self._clock.now()),
        )
        return ProbedOffer(offer=offer, session=question.session)

    def _leave(self, questions, *, good, answered):
        """Give up the questions that are still open.

        :param good: whether the answers were not awaited
        :param answered: whether another upstream answered: the others then had so
            little time that their silence says little of them
        """
        for question in questions:
            if good:
                self._sessions.check_in(question.session)
                continue
            question.session.close()
            if question.reused:
                # A connection that went silent says nothing of its upstream, but
                # the others to it may be silent too. A new one will tell.
                self._sessions.close_idle(question.state.address)
                self._metrics.count("upstream_sessions_lost_total")
            elif answered:
                self._on_late(question.state)
            else:
                self._on_unreachable(question.state)
