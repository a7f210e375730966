"""Specifications of the protocol and their model checking."""

from monsoonline.verify import (  # noqa: F401  (registers them)
    at_most_once,
    configuration,
    drains,
    edits,
    era_removals,
    eras,
    permits,
)
from monsoonline.verify.specification import Specification, Verdict, specifications

__all__ = ["Specification", "Verdict", "specifications"]
