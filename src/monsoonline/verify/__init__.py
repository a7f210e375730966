"""Specification of the core protocol and its model checking."""
