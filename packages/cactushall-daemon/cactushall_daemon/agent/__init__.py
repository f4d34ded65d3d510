"""The agent, which terminates callers' QUIC connections beside a backend server."""
