"""Errors of system calls that come from this machine and may pass at any moment. They tell nothing of a peer or a file.

Sources: the pages of each call in section 2 of the Linux manual.
"""

from __future__ import annotations

import errno

SHORTAGE = frozenset({errno.EADDRNOTAVAIL, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Of `socket` and `connect`: a resource that this machine lacks."""
LOCAL_ERRORS = SHORTAGE | {errno.ENETDOWN, errno.ENETUNREACH}
"""Of `socket` and `connect`: a resource that this machine lacks, or its network."""
TRANSFER_ERRORS = frozenset({errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
"""Of `send`, `recv` and the options of a socket: nothing was transferred, the connection goes on."""
FILE_ERRORS = frozenset({errno.EAGAIN, errno.EDQUOT, errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOLCK,
                         errno.ENOMEM, errno.ENOSPC})
"""Of calls on files and folders; the operator has to mend any other."""
START_ERRORS = SHORTAGE | FILE_ERRORS
"""Of what a process needs to start: its event loop, its listener, its folder."""


def may_pass(error: BaseException, errors: frozenset[int] = START_ERRORS) -> bool:
    """Return whether an error, or the one that it was raised from, is one of these."""
    cause = error if isinstance(error, OSError) else error.__cause__
    return isinstance(cause, OSError) and cause.errno in errors
