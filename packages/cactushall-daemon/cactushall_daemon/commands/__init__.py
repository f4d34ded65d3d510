"""Subcommands of `cactushalld`."""
