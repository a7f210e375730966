"""Tests of monsoonline.commands."""
