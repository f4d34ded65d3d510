"""Remote calls of cactushall: the key-value store and the control service."""
