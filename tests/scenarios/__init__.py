"""Scenarios on real processes over loopback."""
