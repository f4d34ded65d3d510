"""The entry: steers callers' datagrams to agents."""
