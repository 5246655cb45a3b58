"""The journal: a write-ahead log of the messages that the courier has accepted and not yet finished.

A message is on disk before its client is answered, an attempt before its first byte is sent. The package imports
nothing of the courier. Reading order: `codec` (record format), `state` (effect of each record), `disk` (file
operations), `segments` (the log files), `recovery` (reading a folder; `oldformat` and `migration` for version 0.1),
`durability` (sync policies and errors), `writing`, `compaction`, `journal` (the daemon's interface), `tools` (operator
commands).
"""

from wheelstep.journal.durability import FolderInUseError, NoRoomError
from wheelstep.journal.journal import Journal
from wheelstep.journal.state import StoredMessage

__all__ = ["FolderInUseError", "Journal", "NoRoomError", "StoredMessage"]
