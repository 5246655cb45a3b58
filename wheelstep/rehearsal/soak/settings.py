"""Settings of a soak's couriers that change at SIGHUP, and what clients mean by them meanwhile. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from wheelstep.rehearsal.history import Effect
from wheelstep.rehearsal.plan import EFFECT_SETTINGS

CHANGING_CLASS = "changing"
"""The class whose effect changes; at first it must not be repeated."""
CLIENTS_KNOW_US = 1_200_000  # from SIGHUP until clients mean the new settings
_MAX_ATTEMPTS = (4, 8, 12)


@dataclass(frozen=True, slots=True)
class ChangingSettings:
    """What may differ from the plan's settings; None: as there."""

    effect: Effect | None = None
    max_attempts: int | None = None

    def applied(self, config: dict[str, Any]) -> dict[str, Any]:
        """Return a courier's configuration with these settings."""
        settings = config["settings"]
        services = [{**service, "effect": EFFECT_SETTINGS[self.effect]}
                    if service["name"] == CHANGING_CLASS and self.effect is not None else service
                    for service in settings["services"]]
        caps = dict(settings["caps"])
        if self.max_attempts is not None:
            caps["most_tries"] = self.max_attempts
        return {**config, "settings": {**settings, "services": services, "caps": caps}}


class SettingsTimeline:
    """The settings of one courier. Times are microseconds of the rehearsal."""

    def __init__(self) -> None:
        self.present = ChangingSettings()
        self._known: list[tuple[int, ChangingSettings]] = []  # since when clients mean them, oldest first

    def change(self, now_us: int, rng: random.Random) -> ChangingSettings:
        """Draw other settings, which are told by a SIGHUP now, and return them."""
        effect = Effect.SAFE if self.present.effect in (None, Effect.UNSAFE) else Effect.UNSAFE
        self.present = ChangingSettings(effect, rng.choice(_MAX_ATTEMPTS))
        self._known.append((now_us + CLIENTS_KNOW_US, self.present))
        return self.present

    def effect_of(self, message_class: str, now_us: int) -> Effect | None:
        """Return what a client means by a class now; None: what the plan says."""
        if message_class != CHANGING_CLASS:
            return None
        return next((settings.effect for since_us, settings in reversed(self._known) if since_us <= now_us), None)
