"""Which features of the settings this driver does not carry out.

Settings say what a deployment allows, and the decision module uses all of it.

| feature | what the module does with it                    | where nothing carries it out                           |
| ------- | ----------------------------------------------- | ------------------------------------------------------ |
| probes  | compares the few servers that it probed last    | switched off: too few would be compared                |
| notes   | goes by them for quotas, and not by the counter | left on: each quota is divided evenly among the firm's |
|         |                                                 | ingresses, and together they do not exceed it          |
"""

from __future__ import annotations

from dataclasses import replace

from ..policy.interface import Settings


def list_unsupported(settings: Settings) -> list[str]:
    """Returns the paths in the configuration of the features that are allowed and not carried out."""
    allowed = {"settings.Limits.Probing": settings.probes, "settings.Limits.Peers": settings.peers}
    return [path for path, is_allowed in allowed.items() if is_allowed]


def disable_probes(settings: Settings) -> Settings:
    """Returns the settings without probes, which the module would wait for in vain."""
    return replace(settings, probes=False)
