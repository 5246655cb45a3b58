"""What each worker gets of the whole. No I/O."""

from __future__ import annotations

from dataclasses import replace

from wheelstep.courier.config import Config


def part_of(config: Config, worker: int, workers: int) -> Config:
    """A worker's part of slots, held messages and descriptors. Parts add up to the whole, so that what the platform
    allows is never passed, also while a worker is parked."""
    def part(whole: int) -> int:
        return whole // workers + (worker < whole % workers)
    settings = replace(config.settings, slots=part(config.settings.slots),
                       hold_limit=part(config.settings.hold_limit))
    return replace(config, name=f"{config.name}/{worker}", settings=settings,
                   max_descriptors=config.max_descriptors // workers, seed=config.seed + worker)
