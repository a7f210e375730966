"""The settings file of an entry, validated at the border."""

import pathlib

import orjson
import pydantic

from monsoonline.core.documents import format_path
from monsoonline.errors import Finding, FindingsError

SECRET_FIELDS = frozenset(("tokens", "peer_keys"))

__all__ = [
    "EntrySettings",
    "Listener",
    "PeerKey",
    "PlatformSettings",
    "StopSettings",
    "findings_of",
    "load_settings",
    "parse_document",
]


class StrictModel(pydantic.BaseModel):
    """Base of all documents; unknown keys are findings."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Listener(StrictModel):
    """Where a server listens; port 0 takes any free port."""

    host: str = "127.0.0.1"
    port: int = pydantic.Field(default=0, ge=0, le=65535)


class PlatformSettings(StrictModel):
    """Where the platform's services are."""

    url: str = pydantic.Field(pattern=r"^http://[^/]+$")
    timeout_ms: float = pydantic.Field(default=1000.0, gt=0)


class StopSettings(StrictModel):
    """Durations of a graceful stop; see ``entry/lifecycle.py``."""

    propagation_ms: float = pydantic.Field(default=3000.0, ge=0)
    idle_ms: float = pydantic.Field(default=500.0, ge=0)
    reserve_ms: float = pydantic.Field(default=5000.0, ge=0)
    limit_ms: float = pydantic.Field(default=60_000.0, gt=0)


class PeerKey(StrictModel):
    """A shared key that authenticates peer messages; the first one signs."""

    id: int = pydantic.Field(ge=0, le=65535)
    secret: str = pydantic.Field(min_length=16)


class EntrySettings(StrictModel):
    """Settings of one entry process."""

    name: str = pydantic.Field(min_length=1)
    region: str = "default"
    failure_domain: str = "default"
    callers: Listener = Listener()
    operations: Listener = Listener()
    peers: Listener = Listener()
    platform: PlatformSettings
    workers: int = pydantic.Field(default=512, ge=1, le=4096)
    discovery_lifetime_ms: float = pydantic.Field(default=5000.0, ge=100)
    stop: StopSettings = StopSettings()
    tokens: dict[str, str] = pydantic.Field(default_factory=dict)
    peer_keys: tuple[PeerKey, ...] = ()
    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )


def findings_of(error, *, place):
    """Turn a pydantic error into findings.

    :param error: the :class:`pydantic.ValidationError`
    :param place: file name or request part
    :returns: a tuple of :class:`monsoonline.errors.Finding`
    """
    return tuple(
        Finding(
            place=place,
            path=format_path(item["loc"]),
            value=shown_input(item),
            expected=item["msg"],
        )
        for item in error.errors(include_url=False)
    )


def shown_input(item):
    """Return the value of a pydantic error that may be printed.

    The input of a missing field is the object around it, which may hold secrets.
    """
    if item["type"] == "missing":
        return None
    if item["loc"] and item["loc"][0] in SECRET_FIELDS:
        return "(hidden)"
    return item["input"]


def parse_document(model, content, *, place):
    """Parse and validate a JSON document.

    :param model: pydantic model class
    :param content: the bytes
    :param place: named in the findings
    :returns: an instance of ``model``
    :raises FindingsError: with all findings
    """
    try:
        return model.model_validate(orjson.loads(content))
    except orjson.JSONDecodeError as error:
        finding = Finding(
            place=place, path=".", value=str(error), expected="a JSON document"
        )
        raise FindingsError([finding]) from None
    except pydantic.ValidationError as error:
        raise FindingsError(findings_of(error, place=place)) from None


def load_settings(path):
    """Read an entry's settings file.

    :param path: file name
    :returns: :class:`EntrySettings`
    :raises FindingsError: with all findings
    """
    content = pathlib.Path(path).read_bytes()
    return parse_document(EntrySettings, content, place=str(path))
