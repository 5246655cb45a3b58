"""What a courier remembers of the couriers it passes messages on to: ordered keys that may be open there, and which
couriers have stopped answering. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from wheelstep.shards.expiring_table import ExpiringTable

_CHECK_US = 5_000_000
_MAX_COURIERS = 4_096
_MAX_HANDOVERS = 65_536


class KeyedMessage(Protocol):
    """The fields read of a message that is handed in; times in microseconds."""

    @property
    def destination(self) -> int:
        """The destination's number."""
        ...

    @property
    def shard(self) -> int:
        """The destination's shard."""
        ...

    @property
    def message_class(self) -> str:
        """The name of the message's class."""
        ...

    @property
    def key(self) -> str | None:
        """The ordered key; None in classes without order."""
        ...

    @property
    def until_us(self) -> int:
        """The deadline on this courier's clock."""
        ...


@dataclass(slots=True)
class _Key:
    courier: str
    shard: int
    asked_us: int  # when the courier was last asked to take a message of the key
    under_way: int = 0
    until_us: int = 0  # a message of it was or may have been taken there and may be open until then
    silent: bool = False  # an unanswered ask may still arrive there later


class ForwardedKeys:
    """Ordered keys of which messages were passed on, each at one courier, until the messages' deadline plus a settle
    time. Holds `max_keys` keys at most: messages of further keys are passed on as well, and until the last of these has
    ended, `overflowed` reports that any key may be open at another courier."""

    def __init__(self, settle_us: int, max_keys: int) -> None:
        self._settle_us = settle_us
        self._max_keys = max_keys
        self._keys: ExpiringTable[tuple[int, str, str], _Key] = ExpiringTable()
        self._overflow_until_us = 0
        self._handovers: dict[tuple[str, int], int] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def holder(self, now_us: int, message: KeyedMessage) -> str | None:
        """The courier where an earlier message of the key may be open; None if there is none, or for a message without
        a key."""
        if message.key is None:
            return None
        self._expire(now_us)
        name = message.destination, message.message_class, message.key
        key = self._keys.get(name)
        if key is None:
            return None
        if key.under_way:
            return key.courier
        handed_over_us = self._handovers.get((key.courier, key.shard), -1)
        if key.until_us <= now_us or handed_over_us >= key.asked_us:
            self._keys.pop(name)
            return None
        return key.courier

    def overflowed(self, now_us: int) -> bool:
        """Tells whether a key that is not remembered may be open at another courier."""
        return now_us < self._overflow_until_us

    def asked(self, now_us: int, message: KeyedMessage, courier: str) -> bool:
        """The message is being passed on to that courier. True if the outcome must be reported to `answered`."""
        if message.key is None:
            return False
        self._expire(now_us)
        name = message.destination, message.message_class, message.key
        key = self._keys.get(name)
        if key is None:
            if len(self._keys) >= self._max_keys:
                self._overflow_until_us = max(self._overflow_until_us, message.until_us + self._settle_us)
                return False
            key = _Key(courier, message.shard, now_us)
            self._keys.put(name, key, now_us + _CHECK_US)
        if key.courier != courier:  # another message of the key may be open at its courier
            return False
        key.asked_us = now_us
        key.under_way += 1
        return True

    def answered(self, now_us: int, message: KeyedMessage, may_open: bool, silent: bool, owes_none: bool) -> None:
        """An ask has ended. `may_open`: the message may now be open there; `silent`: there was no answer;
        `owes_none`: the courier answered that it owes nothing of the key."""
        assert message.key is not None
        name = message.destination, message.message_class, message.key
        key = self._keys.get(name)
        assert key is not None  # kept while an ask is under way
        key.under_way -= 1
        if may_open:
            key.until_us = max(key.until_us, message.until_us + self._settle_us)
            key.silent = key.silent or silent
        elif owes_none and not key.silent:
            key.until_us = 0
        if not key.under_way and key.until_us <= now_us:
            self._keys.pop(name)

    def handed_over(self, now_us: int, shard: int, courier: str) -> None:
        """That courier has handed the shard over: from now on the handover tells which keys it still owes."""
        self._handovers.pop((courier, shard), None)
        while len(self._handovers) >= _MAX_HANDOVERS:  # drops the oldest, whose keys count as open for longer
            del self._handovers[next(iter(self._handovers))]
        self._handovers[courier, shard] = now_us

    def _expire(self, now_us: int) -> None:
        for name, key in self._keys.pop_expired(now_us):
            if key.under_way:
                self._keys.put(name, key, now_us + _CHECK_US)
            elif key.until_us > now_us:
                self._keys.put(name, key, key.until_us)


@dataclass(slots=True)
class _Silence:
    silent: int = 0
    mute_us: int = 0  # not asked until then
    trial_us: int = 0  # a trial is under way until then


class SilentCouriers:
    """Couriers that left `after` asks in a row unanswered: they are not asked for `mute_us`, and then with one trial at
    a time until they answer."""

    def __init__(self, after: int, mute_us: int, trial_us: int) -> None:
        self._max_silent = after
        self._mute_us = mute_us
        self._trial_us = trial_us
        self._couriers: dict[str, _Silence] = {}  # couriers whose last ask went unanswered

    def __len__(self) -> int:
        return len(self._couriers)

    def is_muted(self, now_us: int, courier: str) -> bool:
        """Tells whether the courier must not be asked at present."""
        silence = self._couriers.get(courier)
        return (silence is not None and silence.silent >= self._max_silent
                and now_us < max(silence.mute_us, silence.trial_us))

    def asked(self, now_us: int, courier: str) -> None:
        """The courier is asked; for a muted one this is the trial."""
        silence = self._couriers.get(courier)
        if silence is not None and silence.silent >= self._max_silent:
            silence.trial_us = now_us + self._trial_us

    def heard(self, now_us: int, courier: str, silent: bool, not_asked: bool) -> None:
        """An ask has ended: unanswered (`silent`), not sent (`not_asked`, which ends a trial and proves nothing), or
        answered."""
        silence = self._couriers.get(courier)
        if silent:
            if silence is None:
                if len(self._couriers) >= _MAX_COURIERS:
                    del self._couriers[next(iter(self._couriers))]
                silence = self._couriers[courier] = _Silence()
            silence.silent += 1
        elif silence is None:
            return
        elif not not_asked:
            del self._couriers[courier]
            return
        if silence.silent >= self._max_silent:
            silence.mute_us, silence.trial_us = now_us + self._mute_us, 0
