"""Composition of one entry whose shared state lives in a store service.

The entry has no disk and no role of its own: every entry serves callers, tells them
which entries to use, and reads the store in turn with the others.
"""

import collections.abc
import dataclasses
import logging
import threading

from monsoonline.adapters.http_server import HttpServer
from monsoonline.adapters.upstream_sessions import SessionPool
from monsoonline.clock import SystemClock
from monsoonline.core.contact import PauseDetector
from monsoonline.core.crashes import CrashTracker
from monsoonline.core.fleet import Fleet, FleetMember
from monsoonline.core.header_names import HeaderNames
from monsoonline.core.read_schedule import ReadSchedule
from monsoonline.entry.fleet_link import FleetLink
from monsoonline.entry.lifecycle import EntryState, Lifecycle, StopTimes
from monsoonline.entry.placed_relay import PlacedRelay
from monsoonline.entry.shared_state import SharedState
from monsoonline.entry.store_reader import StoreReader
from monsoonline.errors import Refusal
from monsoonline.metrics import Metrics
from monsoonline.types import Answer, Outcome

__all__ = ["Dialect", "FleetEntryService"]

SMALL_SERVER_WORKERS = 128
STATE_INTERVAL_MS = 20.0
# Time in which the other entries learn that this one leaves.
PROPAGATION_MS = 1_000.0
IDLE_MS = 300.0
# Part of the time until the platform ends the process that is left unused.
STOP_MARGIN_MS = 500.0
# Time kept for requests that are in flight when the entry stops accepting.
STOP_RESERVE_MS = 1_800.0
# Below this number of entries of the caller's failure domain, others are named too.
MIN_NEAR_ENTRIES = 3
MAX_NAMED_ENTRIES = 64
STACK_BYTES = 256 << 10
# Settings that a running entry can change; the others need a start.
CHANGEABLE_SETTINGS = frozenset(
    (
        "repeats",
        "probes_per_second",
        "discovery_lifetime_ms",
        "stop_limit_ms",
        "log_level",
    )
)

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """How the outside world says what the entry means; filled by an adapter.

    :param names: headers between callers, entries and upstreams
    :param parse_load: turns the text of a load header into a
        :class:`monsoonline.types.LoadReport`, or ``None``
    :param decode_tables: turns stored bytes and their revision into
        :class:`monsoonline.core.model.Tables`
    :param refusal_answer: turns a :class:`monsoonline.errors.Refusal` into an
        :class:`monsoonline.types.Answer`
    :param readiness_path: path of the question whether the entry is ready
    :param discovery_path: path of the question which entries to use
    :param caller_domain: returns the failure domain that a discovery request names
    :param discovery_answer: turns addresses and their lifetime in ms into an answer
    """

    names: HeaderNames
    parse_load: collections.abc.Callable
    decode_tables: collections.abc.Callable
    refusal_answer: collections.abc.Callable
    readiness_path: str
    discovery_path: str
    caller_domain: collections.abc.Callable
    discovery_answer: collections.abc.Callable


class FleetEntryService:
    """One entry.

    :param settings: :class:`monsoonline.fleet_settings.FleetEntrySettings`
    :param dialect: the :class:`Dialect`
    :param store: a :class:`monsoonline.ports.SharedStore`
    :param clock: source of time
    """

    def __init__(self, *, settings, dialect, store, clock=None):
        threading.stack_size(STACK_BYTES)
        self._settings = settings
        self._dialect = dialect
        self._clock = clock or SystemClock()
        self._metrics = Metrics()
        self._stopping = threading.Event()
        listeners = settings.listeners
        self._fleet = Fleet(
            own=FleetMember(
                name=settings.name,
                failure_domain=settings.failure_domain,
                callers_address=listeners.callers,
                peer_address=listeners.peers,
            )
        )
        self._crashes = CrashTracker(clock=self._clock, owner=settings.name)
        self._sessions = SessionPool(clock=self._clock, names=dialect.names)
        self._callers = self._listen(
            self._handle_caller, listeners.callers, settings.connections
        )
        self._relay = PlacedRelay(
            clock=self._clock,
            names=dialect.names,
            parse_load=dialect.parse_load,
            sessions=self._sessions,
            budget=settings.repeats,
            probes_per_second=settings.probes_per_second,
            failure_domain=settings.failure_domain,
            entries=self._count_entries,
            crashes=self._crashes,
            on_failure=self._tell_failure,
            on_loads=self._tell_loads,
            metrics=self._metrics,
        )
        self._state = SharedState(
            decode_tables=dialect.decode_tables,
            on_tables=self._use_tables,
            on_registrations=self._relay.use_registrations,
            metrics=self._metrics,
        )
        self._schedule = ReadSchedule(name=settings.name)
        self._link = FleetLink(
            address=listeners.peers,
            clock=self._clock,
            fleet=self._fleet,
            state=self._state,
            schedule=self._schedule,
            on_failure=self._relay.note_peer_failure,
            on_loads=self._relay.note_peer_loads,
            crashes=self._crashes,
            metrics=self._metrics,
        )
        self._reader = StoreReader(
            clock=self._clock,
            store=store,
            fleet=self._fleet,
            state=self._state,
            schedule=self._schedule,
            link=self._link,
            metrics=self._metrics,
        )
        self._small_servers = self._listen_small()
        self._lifecycle = self._make_lifecycle()

    @property
    def state(self):
        """The :class:`monsoonline.entry.lifecycle.EntryState`."""
        return self._lifecycle.state

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return self._lifecycle.ready and self._state.complete

    @property
    def settings(self):
        """The :class:`monsoonline.fleet_settings.FleetEntrySettings` in effect."""
        return self._settings

    @property
    def metrics(self):
        """The :class:`monsoonline.metrics.Metrics`."""
        return self._metrics

    def start(self):
        """Start serving."""
        self._link.start()
        for server in (self._callers, *self._small_servers):
            server.start()
        self._reader.start()
        threading.Thread(target=self._follow_state, name="state", daemon=True).start()

    def use_settings(self, settings):
        """Use changed settings as far as a running entry can.

        :param settings: :class:`monsoonline.fleet_settings.FleetEntrySettings`
        :returns: names of the settings that are used at the next start only
        """
        changed = {
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        }
        used = sorted(changed & CHANGEABLE_SETTINGS)
        refused = sorted(changed - CHANGEABLE_SETTINGS)
        self._settings = dataclasses.replace(
            self._settings, **{name: getattr(settings, name) for name in used}
        )
        self._relay.use_budgets(
            repeats=self._settings.repeats,
            probes_per_second=self._settings.probes_per_second,
        )
        self._lifecycle.use_times(self._stop_times())
        logging.getLogger("monsoonline").setLevel(self._settings.log_level)
        logger.info(
            "settings reloaded",
            extra={"changed": used, "used_at_next_start": refused},
        )
        return refused

    def stop(self):
        """Stop gracefully, then close.

        :returns: :class:`monsoonline.entry.lifecycle.StopReport`
        """
        report = self._lifecycle.stop()
        self.close()
        return report

    def hurry(self):
        """Shorten a running :meth:`stop`."""
        self._lifecycle.hurry()

    def close(self):
        """Stop serving at once."""
        self._stopping.set()
        self._reader.close()
        self._link.close()
        for server in (self._callers, *self._small_servers):
            server.close()
        self._sessions.close()

    def named_addresses(self, failure_domain):
        """Return the callers' addresses to hand out.

        Entries of the caller's failure domain come alone where there are enough of
        them, since requests then cross domains less often.

        :param failure_domain: where the caller is, ``None`` where unknown
        """
        members = [m for m in self._fleet.alive(self._clock.now()) if m.ready]
        if self.ready:
            members.append(self._fleet.own)
        near = [m for m in members if m.failure_domain == failure_domain]
        chosen = near if len(near) >= MIN_NEAR_ENTRIES else members
        return [m.callers_address for m in chosen if not m.leaving][:MAX_NAMED_ENTRIES]

    def _listen(self, handler, address, workers):
        host, _, port = address.rpartition(":")
        return HttpServer(handler=handler, host=host, port=int(port), workers=workers)

    def _listen_small(self):
        """Return the servers for readiness, discovery and the other entries."""
        listeners = self._settings.listeners
        handlers = {
            listeners.readiness: self._handle_question,
            listeners.peers: self._link.handle,
        }
        if listeners.discovery is not None:
            handlers[listeners.discovery] = self._handle_question
        return [
            self._listen(handler, address, SMALL_SERVER_WORKERS)
            for address, handler in handlers.items()
        ]

    def _stop_times(self):
        return StopTimes(
            lifetime_ms=self._settings.discovery_lifetime_ms,
            propagation_ms=PROPAGATION_MS,
            idle_ms=IDLE_MS,
            reserve_ms=STOP_RESERVE_MS,
            limit_ms=self._settings.stop_limit_ms - STOP_MARGIN_MS,
        )

    def _make_lifecycle(self):
        return Lifecycle(
            clock=self._clock,
            times=self._stop_times(),
            server=self._callers,
            close_keys=lambda: None,
            hand_over=lambda: None,
            on_state=lambda state: self._announce(),
            detector=PauseDetector(clock=self._clock),
        )

    def _use_tables(self, tables):
        self._relay.use_tables(tables)
        self._callers.use_limits(tables.limits)

    def _count_entries(self):
        # Entries that are cut off or restarting use their part of a budget too.
        return 1 + len(self._fleet.others())

    def _tell_failure(self, instance, weight):
        self._link.tell_failure(instance, weight)

    def _tell_loads(self, loads, chosen):
        self._link.tell_loads(loads, chosen)

    def _follow_state(self):
        """Become ready when the shared state is complete."""
        while not self._stopping.wait(STATE_INTERVAL_MS / 1e3):
            if self._state.complete:
                self._lifecycle.set_ready()
                return

    def _announce(self):
        state = self._lifecycle.state
        self._fleet.set_own(
            ready=state is EntryState.READY,
            leaving=state not in (EntryState.STARTING, EntryState.READY),
        )
        self._link.announce()

    def _handle_caller(self, request):
        started = self._clock.now()
        try:
            answer = self._relay.handle(request)
        except Refusal as refusal:
            self._metrics.count("refusals_total", code=refusal.code)
            answer = self._dialect.refusal_answer(refusal)
        except Exception:
            self._metrics.count("refusals_total", code="internal-error")
            logger.exception("request failed unexpectedly")
            answer = self._dialect.refusal_answer(
                Refusal(
                    "unexpected error in the entry",
                    code="internal-error",
                    outcome=Outcome.UNKNOWN,
                    status=502,
                )
            )
        self._metrics.count("requests_total", status=str(answer.status))
        self._metrics.observe("request_ms", self._clock.now() - started)
        return answer

    def _handle_question(self, request):
        """Answer the questions about this entry and about the entries."""
        if request.path == self._dialect.readiness_path:
            return Answer(status=200 if self.ready else 503)
        if request.path == self._dialect.discovery_path:
            addresses = self.named_addresses(self._dialect.caller_domain(request))
            if not addresses:
                return Answer(status=503)
            return self._dialect.discovery_answer(
                addresses, self._settings.discovery_lifetime_ms
            )
        if request.path == "/metrics":
            content, headers = self._metrics.render()
            return Answer(status=200, headers=tuple(headers.items()), body=content)
        return Answer(status=404)
