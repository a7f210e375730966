"""Settings file of an entry, validated when it is loaded."""

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
    "to_findings",
    "load_settings",
    "parse_document",
]


class StrictModel(pydantic.BaseModel):
    """Base of all documents; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Listener(StrictModel):
    """Listen address of a server; port 0 selects any free port."""

    host: str = "127.0.0.1"
    port: int = pydantic.Field(default=0, ge=0, le=65535)


class PlatformSettings(StrictModel):
    """Address and timeout of the platform's services."""

    url: str = pydantic.Field(pattern=r"^http://[^/]+$")
    timeout_ms: float = pydantic.Field(default=1000.0, gt=0)


class StopSettings(StrictModel):
    """Durations of a graceful stop; see ``entry/lifecycle.py``."""

    propagation_ms: float = pydantic.Field(default=3000.0, ge=0)
    idle_ms: float = pydantic.Field(default=500.0, ge=0)
    reserve_ms: float = pydantic.Field(default=5000.0, ge=0)
    limit_ms: float = pydantic.Field(default=60_000.0, gt=0)


class PeerKey(StrictModel):
    """Shared key that authenticates peer messages; the first key of the list signs."""

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


def to_findings(error, *, place):
    """Convert a pydantic error to findings.

    :param error: :class:`pydantic.ValidationError`
    :param place: file name or part of the request, quoted in the findings
    :returns: a tuple of :class:`monsoonline.errors.Finding`
    """
    return tuple(
        Finding(
            place=place,
            path=format_path(item["loc"]),
            value=printable_input(item),
            expected=item["msg"],
        )
        for item in error.errors(include_url=False)
    )


def printable_input(item):
    """Return the input of a pydantic error without secrets.

    Values of secret fields are hidden. pydantic reports the enclosing object as the
    input of a missing field; it may contain secrets, so ``None`` is returned instead.
    """
    if item["type"] == "missing":
        return None
    if item["loc"] and item["loc"][0] in SECRET_FIELDS:
        return "(hidden)"
    return item["input"]


def parse_document(model, content, *, place):
    """Parse and validate a JSON document.

    :param model: pydantic model class
    :param content: JSON document as bytes
    :param place: source of the document, quoted in the findings
    :returns: an instance of ``model``
    :raises FindingsError: if the document is invalid; holds all findings
    """
    try:
        return model.model_validate(orjson.loads(content))
    except orjson.JSONDecodeError as error:
        finding = Finding(
            place=place, path=".", value=str(error), expected="a JSON document"
        )
        raise FindingsError([finding]) from None
    except pydantic.ValidationError as error:
        raise FindingsError(to_findings(error, place=place)) from None


def load_settings(path):
    """Read and validate the settings file of an entry.

    :param path: path of the JSON file
    :returns: :class:`EntrySettings`
    :raises FindingsError: if the file is invalid; holds all findings
    """
    content = pathlib.Path(path).read_bytes()
    return parse_document(EntrySettings, content, place=str(path))
