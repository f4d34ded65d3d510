"""Tests of the processes of the packet transport."""
