"""Subcommands of `cactushall`."""
