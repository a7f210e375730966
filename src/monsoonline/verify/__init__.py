"""Specification of the core protocol and its model checking."""

from monsoonline.verify import (  # noqa: F401  (fills the registry)
    at_most_once,
    configuration,
    drains,
    edits,
)
from monsoonline.verify.specification import Specification, Verdict, specifications

__all__ = ["Specification", "Verdict", "specifications"]
