"""Tests of monsoonline.standin."""
