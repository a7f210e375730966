"""monsoonline: a load balancer for servers whose load changes within milliseconds."""

import importlib

__all__ = [
    "Answer",
    "Clock",
    "EntryService",
    "EntrySettings",
    "Finding",
    "FindingsError",
    "ManualClock",
    "MonsoonlineError",
    "Outcome",
    "Pool",
    "Refusal",
    "Request",
    "Route",
    "SystemClock",
    "Tables",
    "Upstream",
    "load_settings",
]

# Modules are imported lazily, on first access to a public name, so that an entry with
# a small memory footprint does not load libraries that only other entries need.
MODULE_BY_PUBLIC_NAME = {
    "Answer": "types",
    "Clock": "clock",
    "EntryService": "entry.service",
    "EntrySettings": "settings",
    "Finding": "errors",
    "FindingsError": "errors",
    "ManualClock": "clock",
    "MonsoonlineError": "errors",
    "Outcome": "types",
    "Pool": "core.model",
    "Refusal": "errors",
    "Request": "types",
    "Route": "core.model",
    "SystemClock": "clock",
    "Tables": "core.model",
    "Upstream": "core.model",
    "load_settings": "settings",
}


def __getattr__(name):
    """Import a public name on first access (PEP 562)."""
    if name not in MODULE_BY_PUBLIC_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(
        importlib.import_module(f"{__name__}.{MODULE_BY_PUBLIC_NAME[name]}"), name
    )


def __dir__():
    """Return the sorted public names of the package."""
    return sorted(__all__)
