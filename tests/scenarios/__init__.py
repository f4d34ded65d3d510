"""Tests of the scenarios."""
