"""wheelstep: the decisions of a sender that delivers calls to many outside destinations."""

from wheelstep.interface import Settings
from wheelstep.logic import Sender

__all__ = ["Sender", "Settings"]
