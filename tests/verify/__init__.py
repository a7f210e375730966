"""Tests of the specification and its model checking."""
