"""Implementations of the ports over outside formats and protocols."""
