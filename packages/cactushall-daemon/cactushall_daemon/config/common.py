"""Options that all daemons share, independent of their transport."""

from __future__ import annotations

from cactushall_core import keys
from cactushall_daemon.config import base, options

LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_NAME_LENGTH = 63


class ProcessSettings(base.Settings):
    """Identity and logging of a process."""

    node = options.Option(options.text(max_length=MAX_NAME_LENGTH))
    zone = options.Option(options.text(max_length=MAX_NAME_LENGTH))
    address = options.Option(options.ip_address())
    log_level = options.Option(options.text(LOG_LEVELS), "info")


def report_duplicate_key_ids(
    configured_keys: tuple[keys.Key, ...],
    report: options.Report,
    line: int,
    option: str,
) -> None:
    """Report keys with equal ids, since messages name their key by its id.

    Args:
        configured_keys: The keys.
        report: Collects the findings.
        line: Line number of the option that lists the keys.
        option: Name of that option.
    """
    if len({key.id for key in configured_keys}) < len(configured_keys):
        report.error(line, option, "two keys have the same id; generate a new key")
