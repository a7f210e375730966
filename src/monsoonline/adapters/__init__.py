"""Implementations of the ports on external formats and protocols."""
