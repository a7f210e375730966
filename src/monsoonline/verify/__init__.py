"""Specifications of the protocol and their model checking."""

from monsoonline.verify import (  # noqa: F401  (registers them)
    at_most_once,
    configuration,
    drains,
    edits,
    permits,
)
from monsoonline.verify.specification import Specification, Verdict, specifications

__all__ = ["Specification", "Verdict", "specifications"]
