"""Tests of the clients of other services."""
