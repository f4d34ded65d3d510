"""The cactushall command line for operators."""
