"""Daemons of the packet transport, which forward callers' packets unchanged."""
