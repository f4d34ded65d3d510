"""Tests of cactushall."""
