"""brackenpulley: the decisions of a gateway that holds customers to their quotas."""

from .policy.brain import Gateway
from .policy.interface import Settings

__all__ = ["Gateway", "Settings"]
