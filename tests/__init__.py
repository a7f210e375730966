"""Tests of monsoonline; the layout mirrors the package."""
