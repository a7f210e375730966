"""Tests of the specifications and their model checking."""
