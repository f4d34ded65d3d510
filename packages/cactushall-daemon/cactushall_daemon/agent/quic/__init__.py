"""Adapters of `aioquic`, which alone use private names of that library.

The library is pinned to one version for this reason.
"""
