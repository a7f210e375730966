"""Value types shared by several modules."""

import dataclasses
import enum

__all__ = [
    "Answer",
    "AttemptKind",
    "AttemptResult",
    "LoadReport",
    "Outcome",
    "Request",
]


class Outcome(enum.Enum):
    """Whether a refused request may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptKind(enum.Enum):
    """How one attempt at an upstream ended."""

    SUCCEEDED = "succeeded"
    FAILED_RESPONSE = "failed-answer"
    SHED = "shed"
    TIMED_OUT = "timed-out"
    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """Load of an upstream, as reported in its response.

    :param in_flight: number of requests being processed
    :param slots: number of requests that it can process concurrently
    :param queued: number of requests waiting at the upstream
    :param pace: slowdown, the current service time relative to the usual one (1.0)
    """

    in_flight: int
    slots: int
    queued: int = 0
    pace: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of one attempt at an upstream with its measurements.

    :param kind: how the attempt ended
    :param latency_ms: milliseconds from the first byte sent to the end of the attempt
    :param load: load report in the response, ``None`` without one
    :param draining: whether the response marked the upstream as leaving
    :param reachable: whether the upstream accepted a new connection after the
        attempt's connection was lost, which shows that its process did not crash
    """

    kind: AttemptKind
    latency_ms: float
    load: LoadReport | None = None
    draining: bool = False
    reachable: bool = False


class HeaderLookup:
    """Mixin that looks up headers of a message by name."""

    __slots__ = ()

    def header(self, name, default=None):
        """Return the first value of a header, ignoring the case of its name."""
        lower_name = name.lower()
        for key, value in self.headers:
            if key.lower() == lower_name:
                return value
        return default


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request(HeaderLookup):
    """A caller's parsed HTTP request.

    :param method: HTTP method in upper case
    :param host: host name in lower case, without port
    :param target: path with query string
    :param headers: end-to-end headers as name-value pairs
    :param body: complete body
    :param cancellation: signal that the caller no longer waits for the response,
        ``None`` if the request cannot be cancelled
    :param memory: :class:`monsoonline.core.memory_account.MemoryHolder` of the request
        and of its responses, ``None`` if they are not counted
    """

    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    cancellation: object = dataclasses.field(default=None, compare=False, repr=False)
    memory: object = dataclasses.field(default=None, compare=False, repr=False)

    @property
    def path(self):
        """Path of the target, without the query string."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer(HeaderLookup):
    """A complete HTTP response.

    :param status: HTTP status code
    :param reason: HTTP reason phrase
    :param headers: end-to-end headers as name-value pairs
    :param body: complete body
    """

    status: int
    reason: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def without_headers(self, names):
        """Return the response without some headers, ignoring the case of names."""
        removed = {name.lower() for name in names}
        headers = tuple(pair for pair in self.headers if pair[0].lower() not in removed)
        return dataclasses.replace(self, headers=headers)
