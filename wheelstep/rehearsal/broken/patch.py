"""Replaces the courier's settings before it starts."""

from __future__ import annotations

import dataclasses
import importlib
from collections.abc import Callable, Mapping

from wheelstep import interface as api
from wheelstep.courier.config import Config


def change_settings(change: Callable[[api.Settings], api.Settings]) -> None:
    """Make the courier apply `change` to its settings whenever it loads its configuration."""
    courier = importlib.import_module("wheelstep.courier.__main__")
    load = courier.load

    def changed(environ: Mapping[str, str], again: bool = False) -> Config:
        config: Config = load(environ, again)
        return dataclasses.replace(config, settings=change(config.settings))

    courier.load = changed  # type: ignore[attr-defined]
