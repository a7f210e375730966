"""Tests of monsoonline, laid out like the package."""
