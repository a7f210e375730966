"""Tests of monsoonline.adapters."""
