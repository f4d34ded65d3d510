"""Flows of packets that pass unchanged: steering, ownership and placement."""
