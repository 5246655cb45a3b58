"""A selector that survives failures of epoll_ctl, for the event loop.

The standard library's selector forgets a descriptor whose change fails for want of memory, while the kernel goes on
reporting it: the event loop then spins, and the connection is never read again. This one keeps what is wanted apart
from what the kernel knows, and repeats a change that failed.
"""

from __future__ import annotations

import errno
import logging
import math
import select
import selectors
import time
from collections.abc import Mapping
from typing import Any

from wheelstep.courier.arrival import arrivals

_RETRY_S = 0.005  # the longest wait while a change is still to be repeated
_PAUSE_S = 0.001  # where nothing else is ready: the kernel may report a descriptor that is not wanted any more
_RETRIED_ERRORS = frozenset({errno.EINTR, errno.ENOMEM, errno.ENOSPC})  # of epoll_ctl(2), as far as they pass

log = logging.getLogger(__name__)


def _descriptor(file: Any) -> int:
    return file if isinstance(file, int) else int(file.fileno())


class ReliableSelector(selectors.BaseSelector):
    """An epoll selector. Creating it raises `OSError`; changes that fail are repeated with each `select`."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._keys: dict[int, selectors.SelectorKey] = {}
        self._kernel_events: dict[int, int] = {}  # what the kernel was told to report
        self._stale: set[int] = set()  # descriptors of which the kernel was told something else than is wanted

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch a file. Raises `KeyError` if it is watched already."""
        descriptor = _descriptor(fileobj)
        if descriptor in self._keys:
            raise KeyError(f"{fileobj!r} is already registered")
        return self._set_key(fileobj, descriptor, events, data)

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Change the events or the data of a file. Raises `KeyError` if it is not watched."""
        descriptor = _descriptor(fileobj)
        if descriptor not in self._keys:
            raise KeyError(f"{fileobj!r} is not registered")
        return self._set_key(fileobj, descriptor, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Stop watching a file. Raises `KeyError` if it is not watched."""
        key = self._keys.pop(_descriptor(fileobj))
        self._update_kernel(key.fd)
        return key

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the files that are ready, after `timeout` seconds at most."""
        for descriptor in list(self._stale):
            self._update_kernel(descriptor)
        if self._stale:
            timeout = _RETRY_S if timeout is None else min(timeout, _RETRY_S)
        # epoll_wait counts in milliseconds; rounded up, so as not to return before the time.
        wait_s = -1.0 if timeout is None else max(0.0, math.ceil(timeout * 1e3) * 1e-3)
        called_s = time.monotonic()
        try:
            found = self._epoll.poll(wait_s, max(len(self._kernel_events), 1))
        except InterruptedError:
            return []
        arrivals.polled(called_s, time.monotonic(), wait_s)
        ready = [(key, events) for descriptor, reported in found
                 if (key := self._keys.get(descriptor)) is not None and (events := _ready_events(reported, key.events))]
        if self._stale and not ready:
            time.sleep(_PAUSE_S)
        return ready

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Return the key of a file. Raises `KeyError` if it is not watched."""
        return self._keys[_descriptor(fileobj)]

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the keys by descriptor."""
        return self._keys

    def fileno(self) -> int:
        """Return the descriptor of the epoll instance."""
        return self._epoll.fileno()

    def close(self) -> None:
        """Close the epoll instance."""
        self._epoll.close()
        self._keys.clear()

    def _set_key(self, file: Any, descriptor: int, events: int, data: Any) -> selectors.SelectorKey:
        key = self._keys[descriptor] = selectors.SelectorKey(file, descriptor, events, data)
        try:
            self._update_kernel(descriptor)
        except OSError:
            del self._keys[descriptor]
            raise
        return key

    def _update_kernel(self, descriptor: int) -> None:
        """Tell the kernel what is wanted of a descriptor, and note it for later where that fails for a while."""
        key = self._keys.get(descriptor)
        wanted = 0 if key is None else _kernel_mask(key.events)
        try:
            self._tell_kernel(descriptor, self._kernel_events.get(descriptor, 0), wanted)
        except OSError as error:
            if error.errno not in _RETRIED_ERRORS:
                raise
            if not self._stale:
                log.warning("the event loop can't change what it waits for, trying again: %s", error)
            self._stale.add(descriptor)
            return
        self._kernel_events[descriptor] = wanted
        if not wanted:
            del self._kernel_events[descriptor]
        self._stale.discard(descriptor)

    def _tell_kernel(self, descriptor: int, known: int, wanted: int) -> None:
        if wanted == known:
            return
        try:
            if not wanted:
                self._epoll.unregister(descriptor)
            elif known:
                self._epoll.modify(descriptor, wanted)
            else:
                self._epoll.register(descriptor, wanted)
        except FileExistsError:
            self._epoll.modify(descriptor, wanted)
        except OSError as error:
            if error.errno not in (errno.ENOENT, errno.EBADF):
                raise
            if wanted:  # closed meanwhile, which the kernel notes by itself, and the number is in use again
                self._epoll.register(descriptor, wanted)


def _kernel_mask(events: int) -> int:
    reading = select.EPOLLIN if events & selectors.EVENT_READ else 0
    return reading | (select.EPOLLOUT if events & selectors.EVENT_WRITE else 0)


def _ready_events(reported: int, wanted: int) -> int:
    """Return what is ready of what is wanted. An error or the end of a connection makes both ready."""
    events = selectors.EVENT_WRITE if reported & ~select.EPOLLIN else 0
    if reported & ~select.EPOLLOUT:
        events |= selectors.EVENT_READ
    return events & wanted
