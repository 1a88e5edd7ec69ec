"""A quota-enforcing ingress; its decision module can be embedded on its own (see `examples/embed.py`)."""

from .policy.brain import DecisionModule
from .policy.interface import Settings

__version__ = "0.2.0"
__all__ = ["DecisionModule", "Settings"]
