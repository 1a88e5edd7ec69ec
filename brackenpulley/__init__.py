"""brackenpulley: an ingress that holds customers to their quotas; the decision module can be embedded alone."""

from .policy.brain import DecisionModule
from .policy.interface import Settings

__version__ = "0.2.0"
__all__ = ["DecisionModule", "Settings"]
