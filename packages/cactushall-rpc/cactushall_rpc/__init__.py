"""Remote calls: clients of the key-value store and the control service, and HTTP."""
