"""Service configuration files, which operators write in YAML."""

from __future__ import annotations

import pathlib

import msgspec

from cactushall_core import configuration, findings


def load(
    path: pathlib.Path,
) -> tuple[configuration.Configuration | None, list[findings.Finding]]:
    """Load and validate a service configuration.

    Args:
        path: The configuration file.

    Returns:
        The configuration, or None if the file cannot be read, and all findings.
    """
    try:
        loaded = msgspec.yaml.decode(
            path.read_bytes(), type=configuration.Configuration
        )
    except (OSError, msgspec.DecodeError) as error:
        place = findings.Place(str(path), 0, "")
        return None, [findings.Finding(findings.Severity.ERROR, place, str(error))]
    return loaded, configuration.validate(loaded, str(path))
