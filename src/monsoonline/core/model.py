"""Data model of routes, pools and tables."""

import dataclasses
import hashlib
import json
from functools import cached_property

__all__ = [
    "CallerLimits",
    "ProbeBudget",
    "Pool",
    "PoolShare",
    "RefusalMeaning",
    "Route",
    "RouteMatch",
    "SuccessDefinition",
    "Tables",
    "Tolerance",
    "Upstream",
]

CHECKSUM_BYTES = 16


class RefusalMeaning:
    """Valid values of :attr:`Pool.refusal_means`."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteMatch:
    """Conditions on the requests that a route matches; all must hold.

    :param host: host name in lower case, ``""`` for any
    :param path_prefix: prefix of the path
    :param methods: HTTP methods in upper case, empty for any
    :param headers: pairs of header name in lower case and required value
    """

    host: str = ""
    path_prefix: str = "/"
    methods: tuple[str, ...] = ()
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tolerance:
    """Delays, retries and refusals that a route's callers accept.

    :param queue_ms: maximum wait for an upstream slot, in ms
    :param retries: maximum number of attempts after the first, per request
    :param hedges: maximum number of hedges of a slow idempotent request
    :param refusal_share: share of requests that may be refused, 0 to 1
    """

    queue_ms: float = 100.0
    retries: int = 1
    hedges: int = 0
    refusal_share: float = 0.01


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SuccessDefinition:
    """A route's definition of a successful request.

    :param objective: target share of successful requests, 0 to 1
    :param latency_ms: maximum latency of a successful request, in ms
    :param statuses: status classes that count as success, such as ``2`` for 2xx
    """

    objective: float = 0.999
    latency_ms: float = 500.0
    statuses: tuple[int, ...] = (2, 3, 4)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolShare:
    """A pool that serves a share of a route's requests.

    :param pool: name of the pool
    :param weight: weight of the pool relative to the route's other shares
    """

    pool: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One row of the table of routes.

    :param name: unique name
    :param department: owner of the row
    :param pool: name of the pool that serves the route
    :param match: conditions on the requests of the route
    :param idempotent: whether a request may run more than once
    :param deadline_ms: maximum time from a request's arrival to its response, in ms
    :param tolerance: limits of queue time, retries, hedges and refusals
    :param success: definition of a successful request
    :param shares: pools among which requests are split; replaces ``pool`` if not empty
    :param priority: priority among the routes of a pool; 0 is the most urgent
    """

    name: str
    department: str
    pool: str
    match: RouteMatch
    idempotent: bool
    deadline_ms: float = 1000.0
    tolerance: Tolerance = Tolerance()
    success: SuccessDefinition = SuccessDefinition()
    shares: tuple[PoolShare, ...] = ()
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits of callers' requests and connections.

    :param max_header_bytes: maximum size of a request's start line and headers
    :param max_body_bytes: maximum size of a request's body
    :param header_timeout_ms: maximum time for a request to arrive, in ms
    :param idle_timeout_ms: maximum time between two requests of a connection, in ms
    """

    max_header_bytes: int = 32 << 10
    max_body_bytes: int = 1 << 20
    header_timeout_ms: float = 30_000.0
    idle_timeout_ms: float = 120_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One server of a pool.

    :param address: ``host:port`` with an IP address as the host
    :param failure_domain: name of the failure domain in which it runs
    :param slots: number of requests that it processes concurrently
    """

    address: str
    failure_domain: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeBudget:
    """Limits of the probes sent to one upstream, in total from all entries.

    :param probes_per_second: maximum rate of probes
    :param slot_share: maximum share of its slots that probes may occupy, 0 to 1
    :param path: path of the probe request
    """

    probes_per_second: float = 2.0
    slot_share: float = 0.02
    path: str = "/health"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """One row of the table of pools.

    :param name: unique name
    :param department: owner of the row
    :param upstreams: the servers
    :param max_connections: maximum number of connections per upstream, in total from
        all entries
    :param measuring: limits of the probes
    :param refusal_means: outcome of a request that an upstream refuses with a
        certified refusal, a value of :class:`RefusalMeaning`
    :param policy: name of the balancing policy
    """

    name: str
    department: str
    upstreams: tuple[Upstream, ...]
    max_connections: int = 280
    measuring: ProbeBudget = ProbeBudget()
    refusal_means: str = RefusalMeaning.NOT_RUN
    policy: str = "adaptive"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tables:
    """Routes and pools at one revision.

    :param revision: number of changes committed so far, which orders the changes
    :param routes: routes by name
    :param pools: pools by name
    :param limits: limits of callers' requests and connections
    :param edition: number that the operator gives to successive tables, ``None`` if
        there is none
    """

    revision: int = 0
    routes: dict[str, Route] = dataclasses.field(default_factory=dict)
    pools: dict[str, Pool] = dataclasses.field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    edition: int | None = None

    @cached_property
    def checksum(self):
        """Hexadecimal digest of revision and rows, independent of row order."""
        document = {
            "revision": self.revision,
            "routes": {name: dataclasses.asdict(r) for name, r in self.routes.items()},
            "pools": {name: dataclasses.asdict(p) for name, p in self.pools.items()},
        }
        encoded = json.dumps(document, sort_keys=True).encode()
        return hashlib.blake2b(encoded, digest_size=CHECKSUM_BYTES).hexdigest()
