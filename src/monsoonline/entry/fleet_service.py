"""Composition of one entry process that keeps its shared state in a store service.

Entries use no disk and have no distinct roles: each one serves callers, answers
discovery requests, and takes turns with the others in reading the store.
"""

import collections.abc
import dataclasses
import logging
import threading

from monsoonline.adapters.http_server import HttpServer
from monsoonline.adapters.upstream_sessions import SessionPool
from monsoonline.background import start_task
from monsoonline.clock import SystemClock
from monsoonline.core.contact import PauseDetector
from monsoonline.core.crashes import CrashTracker
from monsoonline.core.fleet import Fleet, FleetMember
from monsoonline.core.header_names import HeaderNames
from monsoonline.core.memory_account import MemoryAccount, Phase
from monsoonline.core.read_schedule import ReadSchedule
from monsoonline.entry.crash_recorder import CrashRecorder
from monsoonline.entry.fleet_link import FleetLink
from monsoonline.entry.lifecycle import EntryState, Lifecycle, StopTimes
from monsoonline.entry.memory_watch import MemoryWatch
from monsoonline.entry.placed_relay import PlacedRelay
from monsoonline.entry.shared_state import SharedState
from monsoonline.entry.start_gate import StartGate
from monsoonline.entry.store_reader import StoreReader
from monsoonline.errors import Refusal
from monsoonline.metrics import Metrics
from monsoonline.types import Answer, Outcome

__all__ = ["Dialect", "FleetEntryService"]

AUXILIARY_SERVER_WORKERS = 128
STATE_CHECK_INTERVAL_MS = 20.0
LIMIT_REFRESH_INTERVAL_MS = 250.0
# Time within which the other entries learn that this one is leaving.
PROPAGATION_MS = 1_000.0
IDLE_CONNECTION_MS = 300.0
# Margin before the time at which the platform ends the process.
STOP_MARGIN_MS = 300.0
# Time reserved for requests in flight when the entry stops accepting connections.
STOP_RESERVE_MS = 1_800.0
# With fewer entries in the caller's failure domain, remote entries are listed too.
MIN_LOCAL_ENTRIES = 3
MAX_LISTED_ENTRIES = 64
THREAD_STACK_BYTES = 256 << 10
# Settings that a running entry can change; the others require a restart.
RELOADABLE_SETTINGS = frozenset(
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
    """Wire conventions of a platform: headers, paths and encodings.

    Each platform adapter provides an instance.

    :param names: header names used between callers, entries and upstreams
    :param parse_load: converts the value of a load header into a
        :class:`monsoonline.types.LoadReport`, or ``None`` if it is not valid
    :param decode_tables: converts stored bytes and their revision into
        :class:`monsoonline.core.model.Tables`
    :param refusal_response: converts a :class:`monsoonline.errors.Refusal` into an
        :class:`monsoonline.types.Answer`
    :param readiness_path: path of the readiness endpoint
    :param discovery_path: path of the discovery endpoint
    :param caller_domain: returns the failure domain named by a discovery request
    :param discovery_response: converts addresses and their lifetime in ms into a
        response
    """

    names: HeaderNames
    parse_load: collections.abc.Callable
    decode_tables: collections.abc.Callable
    refusal_response: collections.abc.Callable
    readiness_path: str
    discovery_path: str
    caller_domain: collections.abc.Callable
    discovery_response: collections.abc.Callable


class FleetEntryService:
    """One entry process.

    :param settings: :class:`monsoonline.fleet_settings.FleetEntrySettings`
    :param dialect: the :class:`Dialect`
    :param store: a :class:`monsoonline.ports.SharedStore`
    :param clock: source of time
    """

    def __init__(self, *, settings, dialect, store, clock=None):
        threading.stack_size(THREAD_STACK_BYTES)
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
        self._crashes = CrashTracker(
            clock=self._clock, owner=settings.name, on_change=self._share_crashes
        )
        self._account = MemoryAccount(
            max_bytes=settings.message_bytes, clock=self._clock
        )
        self._sessions = SessionPool(
            clock=self._clock, names=dialect.names, account=self._account
        )
        self._callers = self._make_server(
            self._handle_caller,
            listeners.callers,
            settings.connections,
        )
        self._memory_watch = MemoryWatch(
            account=self._account, server=self._callers, clock=self._clock
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
            on_failure=self._queue_failure,
            on_loads=self._send_loads,
            metrics=self._metrics,
            fleet=self._fleet,
            send=self._send_message,
            admit_until=self._admit_until,
            read_age_ms=self._read_age_ms,
            on_leaving=self._note_leaving,
            caught_up=lambda: self.state is not EntryState.STARTING,
        )
        self._state = SharedState(
            decode_tables=dialect.decode_tables,
            on_tables=self._use_tables,
            on_registrations=self._relay.use_registrations,
            metrics=self._metrics,
            clock=self._clock,
        )
        self._gate = StartGate(clock=self._clock, state=self._state)
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
            permits=self._relay.permits,
            gate=self._gate,
            metrics=self._metrics,
        )
        self._reader = StoreReader(
            clock=self._clock,
            store=store,
            fleet=self._fleet,
            state=self._state,
            schedule=self._schedule,
            link=self._link,
            crashes=self._crashes,
            gate=self._gate,
            metrics=self._metrics,
        )
        self._recorder = CrashRecorder(
            store=store, crashes=self._crashes, metrics=self._metrics
        )
        self._auxiliary_servers = self._make_auxiliary_servers()
        self._lifecycle = self._make_lifecycle()

    @property
    def state(self):
        """The :class:`monsoonline.entry.lifecycle.EntryState`."""
        return self._lifecycle.state

    @property
    def ready(self):
        """Whether this entry accepts callers."""
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
        for server in (self._callers, *self._auxiliary_servers):
            server.start()
        self._reader.start()
        self._recorder.start()
        for task in (self._wait_for_state, self._refresh_limits):
            start_task(task, stopping=self._stopping, on_error=self._count_failure)

    def use_settings(self, settings):
        """Apply the changed settings that do not require a restart.

        :param settings: :class:`monsoonline.fleet_settings.FleetEntrySettings`
        :returns: names of the changed settings that take effect at the next start
        """
        changed = {
            field.name
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        }
        applied = sorted(changed & RELOADABLE_SETTINGS)
        postponed = sorted(changed - RELOADABLE_SETTINGS)
        self._settings = dataclasses.replace(
            self._settings, **{name: getattr(settings, name) for name in applied}
        )
        self._relay.use_budgets(
            repeats=self._settings.repeats,
            probes_per_second=self._settings.probes_per_second,
        )
        self._lifecycle.use_times(self._stop_times())
        logging.getLogger("monsoonline").setLevel(self._settings.log_level)
        logger.info(
            "settings reloaded",
            extra={"changed": applied, "used_at_next_start": postponed},
        )
        return postponed

    def stop(self):
        """Stop gracefully, then close.

        :returns: :class:`monsoonline.entry.lifecycle.StopReport`
        """
        report = self._lifecycle.stop()
        self.close()
        return report

    def shorten_stop(self):
        """Skip the remaining wait of a running :meth:`stop` for discovery expiry."""
        self._lifecycle.shorten_stop()

    def close(self):
        """Stop serving immediately."""
        self._stopping.set()
        self._reader.close()
        self._recorder.close()
        self._link.close()
        for server in (self._callers, *self._auxiliary_servers):
            server.close()
        self._sessions.close()

    def discovery_addresses(self, failure_domain):
        """Return the addresses for a discovery response.

        Only entries of the caller's failure domain are returned if there are enough
        of them, so that fewer requests cross failure domains.

        :param failure_domain: the caller's failure domain, ``None`` if unknown
        """
        members = [m for m in self._fleet.alive(self._clock.now()) if m.ready]
        if self.ready:
            members.append(self._fleet.own)
        local = [m for m in members if m.failure_domain == failure_domain]
        chosen = local if len(local) >= MIN_LOCAL_ENTRIES else members
        return [m.callers_address for m in chosen if not m.leaving][:MAX_LISTED_ENTRIES]

    def _make_server(self, handler, address, workers, *, essential=False):
        host, _, port = address.rpartition(":")
        return HttpServer(
            handler=handler,
            host=host,
            port=int(port),
            workers=workers,
            account=self._account,
            essential=essential,
        )

    def _make_auxiliary_servers(self):
        """Return the servers for readiness, discovery and peer requests."""
        listeners = self._settings.listeners
        handlers = {
            listeners.readiness: self._handle_status_request,
            listeners.peers: self._link.handle,
        }
        if listeners.discovery is not None:
            handlers[listeners.discovery] = self._handle_status_request
        return [
            self._make_server(
                handler, address, AUXILIARY_SERVER_WORKERS, essential=True
            )
            for address, handler in handlers.items()
        ]

    def _stop_times(self):
        return StopTimes(
            lifetime_ms=self._settings.discovery_lifetime_ms,
            propagation_ms=PROPAGATION_MS,
            idle_ms=IDLE_CONNECTION_MS,
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
        # Isolated and restarting entries use their share of a budget too.
        return 1 + len(self._fleet.others())

    def _note_leaving(self, instance, born_ms):
        self._state.note_leaving(instance, born_ms)

    def _read_age_ms(self):
        return self._schedule.read_age_ms(self._clock.boot())

    def _admit_until(self, deadline):
        self._lifecycle.admit_until(deadline)

    def _queue_failure(self, instance, weight):
        self._link.queue_failure(instance, weight)

    def _share_crashes(self):
        self._link.send_crashes()
        self._recorder.wake()

    def _send_message(self, member, message):
        self._link.send(member, message)

    def _send_loads(self, loads, chosen):
        self._link.send_loads(loads, chosen)

    def _wait_for_state(self):
        """Set the entry ready once it has caught up with the others."""
        while not self._stopping.wait(STATE_CHECK_INTERVAL_MS / 1e3):
            if self._gate.open:
                self._lifecycle.set_ready()
                return

    def _refresh_limits(self):
        while not self._stopping.wait(LIMIT_REFRESH_INTERVAL_MS / 1e3):
            self._relay.refresh_limits()
            self._memory_watch.check()

    def _count_failure(self):
        self._metrics.count("task_failures_total")

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
            response = self._relay.handle(request)
        except Refusal as refusal:
            self._metrics.count("refusals_total", code=refusal.code)
            response = self._dialect.refusal_response(refusal)
        except Exception:
            self._metrics.count("refusals_total", code="internal-error")
            logger.exception("unexpected error while handling a request")
            response = self._dialect.refusal_response(
                Refusal(
                    "unexpected error in the entry",
                    code="internal-error",
                    outcome=Outcome.UNKNOWN,
                    status=502,
                )
            )
        self._metrics.count("requests_total", status=str(response.status))
        self._metrics.observe("request_ms", self._clock.now() - started)
        return response

    def _measure_use(self):
        """Set the gauges of what is in use; only refused bodies are a sum."""
        self._metrics.gauge("caller_connections", self._callers.open_connections)
        self._metrics.gauge("requests_in_flight", self._callers.requests_in_flight)
        self._metrics.gauge("upstream_attempts_open", self._relay.open_attempts)
        self._measure_memory()
        read_age_ms = self._read_age_ms()
        if read_age_ms is not None:
            self._metrics.gauge("store_read_age_ms", round(read_age_ms))

    def _measure_memory(self):
        """Set the gauges of the memory account; refusals and closings are sums."""
        account = self._account
        requests = (Phase.RECEIVING, Phase.RUNNING)
        self._metrics.gauge(
            "request_body_bytes", sum(account.held_bytes(phase) for phase in requests)
        )
        self._metrics.gauge("bodies_refused", self._callers.bodies_refused)
        self._metrics.gauge("message_bytes", account.message_bytes)
        self._metrics.gauge("message_bytes_limit", account.max_bytes)
        for phase in Phase:
            self._metrics.gauge(
                "held_bytes", account.held_bytes(phase), phase=phase.value
            )
            self._metrics.gauge(
                "messages_given_way", account.gave_way(phase), phase=phase.value
            )
        self._metrics.gauge(
            "connections_interrupted", self._callers.connections_interrupted
        )

    def _handle_status_request(self, request):
        """Return the response to a readiness, discovery or metrics request."""
        if request.path == self._dialect.readiness_path:
            return Answer(status=200 if self.ready else 503)
        if request.path == self._dialect.discovery_path:
            addresses = self.discovery_addresses(self._dialect.caller_domain(request))
            if not addresses:
                return Answer(status=503)
            return self._dialect.discovery_response(
                addresses, self._settings.discovery_lifetime_ms
            )
        if request.path == "/metrics":
            self._measure_use()
            content, headers = self._metrics.render()
            return Answer(status=200, headers=tuple(headers.items()), body=content)
        return Answer(status=404)
