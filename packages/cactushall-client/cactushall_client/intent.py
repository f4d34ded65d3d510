"""Service configurations as operators write them, in YAML."""

from __future__ import annotations

import pathlib

import msgspec

from cactushall_core import configuration, findings


def load(
    path: pathlib.Path,
) -> tuple[configuration.Configuration | None, list[findings.Finding]]:
    """Load a service configuration and check it whole.

    Returns:
        The configuration, or None where it cannot be read, and all findings.
    """
    try:
        loaded = msgspec.yaml.decode(
            path.read_bytes(), type=configuration.Configuration
        )
    except (OSError, msgspec.DecodeError) as error:
        place = findings.Place(str(path), 0, "")
        return None, [findings.Finding(findings.Severity.ERROR, place, str(error))]
    return loaded, configuration.validate(loaded, str(path))
