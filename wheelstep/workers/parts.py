"""Divides a courier's limits among its workers. No I/O."""

from __future__ import annotations

from dataclasses import replace

from wheelstep.courier.config import Config


def worker_config(config: Config, worker: int, workers: int) -> Config:
    """Return the configuration of worker number `worker` of `workers`, with its part of slots, held messages,
    descriptors and memory; the supervisor has a part of the memory, too. The parts add up to the whole, so the
    platform's limits are never exceeded, even while a worker is parked."""
    def part(whole: int) -> int:
        return whole // workers + (worker < whole % workers)
    settings = replace(config.settings, slots=part(config.settings.slots),
                       hold_limit=part(config.settings.hold_limit))
    return replace(config, name=f"{config.name}/{worker}", settings=settings,
                   memory_bytes=config.memory_bytes and config.memory_bytes // (workers + 1),
                   max_descriptors=config.max_descriptors // workers, seed=config.seed + worker)
