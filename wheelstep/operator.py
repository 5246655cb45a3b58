"""The operator's file: optional features of an installation. All are off by default.

Only imported where such a file is named (`--operator FILE` or `UMBERCHUTE_OPERATOR`).
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError

from wheelstep.fields import Duration, Table, describe_error


class OperatorError(Exception):
    """The operator's file cannot be used; the text is `file: key: what was found; expected what`."""


class RecordingPart(Table):
    """Whether and where received messages are recorded."""

    on: bool = False
    file: Path | None = None
    max_mb: Annotated[float, Field(gt=0, le=100_000)] = 64.0
    bodies: bool = False


class JournalPart(Table):
    """When the journal is synced, and the size of its segments."""

    sync: Literal["none", "group", "each"] = "none"
    sync_within: Duration = 1_000_000
    segment_kb: Annotated[int, Field(ge=0, le=1_000_000)] = 0


class AccountPart(Table):
    """Whether the log has the lines that `umberchute account` reads."""

    on: bool = False


class WorkersPart(Table):
    """How many worker processes the courier uses, and what is done about workers that hang or fail."""

    count: Annotated[int, Field(ge=0, le=64)] = 0
    shares: Annotated[int, Field(ge=1, le=64)] = 8
    hang_after: Duration = 3_000_000
    park_after: Annotated[int, Field(ge=1, le=100)] = 3
    park_within: Duration = 30_000_000


class Operator(Table):
    """The whole file."""

    account: AccountPart = AccountPart()
    fleet: Any = None  # a `wheelstep.fleet.settings.FleetConfig` if the file has a fleet that is on
    journal: JournalPart = JournalPart()
    recording: RecordingPart = RecordingPart()
    workers: WorkersPart = WorkersPart()


def load(path: str) -> Operator:
    """Read and validate the file. Raises `OperatorError`."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorError(f"{path}: can't be read: {error}; expected TOML in UTF-8") from error
    fleet = None
    try:
        found = tomllib.loads(text)
        if "fleet" in found or "contract" in found:
            try:
                from wheelstep.fleet.settings import FleetError, read
            except ImportError as error:
                raise OperatorError(f"{path}: fleet: {error}; expected the extra umberchute[fleet]") from error
            try:
                fleet = read(found.pop("fleet", None), found.pop("contract", None), Path(path).parent)
            except FleetError as error:
                raise OperatorError(f"{path}: {error}") from error
        operator = Operator.model_validate({**found, "fleet": fleet})
    except tomllib.TOMLDecodeError as error:
        raise OperatorError(f"{path}: {error}; expected TOML") from error
    except ValidationError as error:
        raise OperatorError(f"{path}: {describe_error(error, 'deploy/operator.toml')}") from error
    if operator.fleet is not None and operator.workers.count:
        raise OperatorError(f"{path}: workers.count: {operator.workers.count} beside fleet.on = true; expected 0: a "
                            "fleet's courier is one process")
    recording = operator.recording
    if recording.on and recording.file is None:
        raise OperatorError(f"{path}: recording.file: missing; expected a file name where recording.on is true")
    if recording.on and recording.file is not None and not recording.file.parent.is_dir():
        raise OperatorError(f"{path}: recording.file: {str(recording.file.parent)!r} is no folder; "
                            "expected a file in an existing folder")
    return operator
