"""The agent: ends callers' QUIC connections beside a backend server."""
