"""stoatlift: the decisions of a gateway that holds customers to their quotas."""

from .brain import Gateway
from .interface import Settings

__all__ = ["Gateway", "Settings"]
