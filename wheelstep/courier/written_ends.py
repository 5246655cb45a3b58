"""Notifies the platform of an end only once the journal has it on disk.

After a kill the next process knows what the disk knows: it would send a message whose client was already told to come
again, or notify it a second time with another outcome. At the deadline the notification is due in any case, and no
process sends the message after it.
"""

from __future__ import annotations

import asyncio

from wheelstep.courier.ports import NotificationSender
from wheelstep.courier.wall_clock import left_us
from wheelstep.journal import StoredMessage

_CHECK_INTERVAL_S = 0.02  # until the disk takes the end


def notify_when_written(message: StoredMessage, notices: NotificationSender) -> None:
    """Queue the notification of a message that has ended, at once or as soon as its end is on disk."""
    assert message.notice is not None
    left_s = left_us(message) / 1e6
    if message.unwritten and left_s > 0:
        asyncio.get_running_loop().call_later(min(_CHECK_INTERVAL_S, left_s), notify_when_written, message, notices)
    else:
        notices.enqueue(message.id, *message.notice)
