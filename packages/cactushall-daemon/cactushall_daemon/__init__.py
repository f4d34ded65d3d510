"""The cactushall daemons."""
