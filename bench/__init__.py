"""Benchmarks and simulations; most modules are commands that print figures."""
