"""wheelstep: the decisions of a sender that delivers calls to many outside destinations."""

from wheelstep.interface import Settings
from wheelstep.policy.sender import Sender

__all__ = ["Sender", "Settings"]
