"""What a courier remembers of those it passes messages on to: ordered keys that may be open there, and who is mute.
No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from wheelstep.shards.timed import Timed

_LOOK_US = 5_000_000
_MOST_COURIERS = 4_096
_MOST_HANDOVERS = 65_536


class Keyed(Protocol):
    """What is looked at of a message that is handed in; moments in microseconds."""

    @property
    def destination(self) -> int: ...
    @property
    def shard(self) -> int: ...
    @property
    def message_class(self) -> str: ...
    @property
    def key(self) -> str | None: ...
    @property
    def until_us(self) -> int: ...


@dataclass(slots=True)
class _Key:
    courier: str
    shard: int
    asked_us: int  # when something of it was last asked
    under_way: int = 0
    until_us: int = 0  # something of it was taken there, or may have been, and may be open until then
    silent: bool = False  # an ask of it may come to light there late


class Passed:
    """Ordered keys of which messages were passed on, each at one courier, until their deadline and a settle time. At
    most `most`: a key that finds no room is passed on all the same, and until all such have ended `overfull` says that
    any key may be open somewhere."""

    def __init__(self, settle_us: int, most: int) -> None:
        self._settle_us = settle_us
        self._most = most
        self._keys: Timed[tuple[int, str, str], _Key] = Timed()
        self._overfull_us = 0
        self._handovers: dict[tuple[str, int], int] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def holder(self, now_us: int, message: Keyed) -> str | None:
        """The courier where an earlier message of its key may be open; None for none, or a message without a key."""
        if message.key is None:
            return None
        self._expire(now_us)
        name = message.destination, message.message_class, message.key
        key = self._keys.get(name)
        if key is None:
            return None
        if key.under_way:
            return key.courier
        over_us = self._handovers.get((key.courier, key.shard), -1)
        if key.until_us <= now_us or over_us >= key.asked_us:
            self._keys.pop(name)
            return None
        return key.courier

    def overfull(self, now_us: int) -> bool:
        """May a key that is not remembered be open elsewhere?"""
        return now_us < self._overfull_us

    def asked(self, now_us: int, message: Keyed, courier: str) -> bool:
        """It is asked of that courier now. True: to be told by `answered`."""
        if message.key is None:
            return False
        self._expire(now_us)
        name = message.destination, message.message_class, message.key
        key = self._keys.get(name)
        if key is None:
            if len(self._keys) >= self._most:
                self._overfull_us = max(self._overfull_us, message.until_us + self._settle_us)
                return False
            key = _Key(courier, message.shard, now_us)
            self._keys.put(name, key, now_us + _LOOK_US)
        if key.courier != courier:  # one message in doubt or taken, which is open where it was asked
            return False
        key.asked_us = now_us
        key.under_way += 1
        return True

    def answered(self, now_us: int, message: Keyed, opens: bool, silent: bool, owes_none: bool) -> None:
        """An ask has ended. `opens`: the message may be open there now; `silent`: nobody knows; `owes_none`: that
        courier said that it owes nothing of the key."""
        assert message.key is not None
        name = message.destination, message.message_class, message.key
        key = self._keys.get(name)
        assert key is not None  # held while an ask is under way
        key.under_way -= 1
        if opens:
            key.until_us = max(key.until_us, message.until_us + self._settle_us)
            key.silent = key.silent or silent
        elif owes_none and not key.silent:
            key.until_us = 0
        if not key.under_way and key.until_us <= now_us:
            self._keys.pop(name)

    def handed_over(self, now_us: int, shard: int, courier: str) -> None:
        """What that courier still owes of the shard is known here by other means from now on."""
        self._handovers.pop((courier, shard), None)
        while len(self._handovers) >= _MOST_HANDOVERS:  # the oldest forgotten: its keys are believed open for longer
            del self._handovers[next(iter(self._handovers))]
        self._handovers[courier, shard] = now_us

    def _expire(self, now_us: int) -> None:
        for name, key in self._keys.ended(now_us):
            if key.under_way:
                self._keys.put(name, key, now_us + _LOOK_US)
            elif key.until_us > now_us:
                self._keys.put(name, key, key.until_us)


@dataclass(slots=True)
class _Voice:
    silent: int = 0
    mute_us: int = 0  # until then
    trial_us: int = 0  # one trial is under way until then


class Voices:
    """Who did not answer `after` times in a row: not asked for `mute_us`, then one trial at a time, until it answers.
    """

    def __init__(self, after: int, mute_us: int, trial_us: int) -> None:
        self._after = after
        self._mute_us = mute_us
        self._trial_us = trial_us
        self._voices: dict[str, _Voice] = {}  # those that were silent last

    def __len__(self) -> int:
        return len(self._voices)

    def mute(self, now_us: int, courier: str) -> bool:
        """Is it not to be asked just now?"""
        voice = self._voices.get(courier)
        return voice is not None and voice.silent >= self._after and now_us < max(voice.mute_us, voice.trial_us)

    def asked(self, now_us: int, courier: str) -> None:
        """It is asked: if it is mute, that is the trial."""
        voice = self._voices.get(courier)
        if voice is not None and voice.silent >= self._after:
            voice.trial_us = now_us + self._trial_us

    def heard(self, now_us: int, courier: str, silent: bool, not_asked: bool) -> None:
        """It was silent, or could not be asked (which says nothing of it but ends a trial), or answered."""
        voice = self._voices.get(courier)
        if silent:
            if voice is None:
                if len(self._voices) >= _MOST_COURIERS:
                    del self._voices[next(iter(self._voices))]
                voice = self._voices[courier] = _Voice()
            voice.silent += 1
        elif voice is None:
            return
        elif not not_asked:
            del self._voices[courier]
            return
        if voice.silent >= self._after:
            voice.mute_us, voice.trial_us = now_us + self._mute_us, 0
