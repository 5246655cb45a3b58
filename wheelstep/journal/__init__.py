"""The journal: what the courier has taken on, on disk before anything is answered or sent.

Imports nothing of the courier. Reading order: `codec` (records), `state` (what they mean), `disk` (files),
`segments` (the log), `recovery` (reading a folder; `oldformat`, `takeover`), `promise`, `writing`, `compaction`,
`journal` (what the daemon uses), `tools`.
"""

from wheelstep.journal.journal import Journal
from wheelstep.journal.promise import FolderInUseError, NoRoomError
from wheelstep.journal.state import Stored

__all__ = ["FolderInUseError", "Journal", "NoRoomError", "Stored"]
