"""wheelstep: the decisions of a sender that delivers calls to many outside destinations."""

from wheelstep.interface import Settings
from wheelstep.wait_reasons import ReportingSender as Sender

__all__ = ["Sender", "Settings"]
