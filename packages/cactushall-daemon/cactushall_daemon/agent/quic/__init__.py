"""Adapters of `aioquic`; all uses of its private names are in this package.

The library is pinned to one version for that reason.
"""
