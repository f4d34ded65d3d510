"""Command line for operators of cactushall."""
