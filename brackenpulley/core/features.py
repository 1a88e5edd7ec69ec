"""Which features of the settings this driver does not carry out.

Settings say what a deployment allows, and the decision module uses all of it. So it is told only what its driver can
do: where it counts on a probe or a note that never leaves, it does without the means that it would use otherwise.
"""

from __future__ import annotations

from dataclasses import replace

from ..policy.interface import Settings


def list_unsupported(settings: Settings) -> list[str]:
    """Returns the paths in the configuration of the features that are allowed and not carried out."""
    allowed = {"settings.Limits.Probing": settings.probes, "settings.Limits.Peers": settings.peers}
    return [path for path, is_allowed in allowed.items() if is_allowed]


def disable_unsupported(settings: Settings) -> Settings:
    """Returns the settings without the features that are not carried out."""
    return replace(settings, probes=False, peers=False)
