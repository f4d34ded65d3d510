"""Shortens the start of a process."""

from __future__ import annotations

import sys


def disable_tls_import() -> None:
    """Keep asyncio from importing `ssl`; without it, asyncio only lacks TLS.

    Call this before asyncio is imported.
    """
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
