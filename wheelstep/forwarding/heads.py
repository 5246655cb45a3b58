"""The heads of forwarded frames, checked. No I/O; imports msgspec.

An asker sends `ask`, whose body is the message's, then `begin` or `withdraw`; numbers of asks rise on one connection.
Who is asked sends an `Answered` to each ask, but where no answer would be true.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from wheelstep.journal import StoredMessage

Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Text = Annotated[str, msgspec.Meta(max_length=1_024)]


class Ask(msgspec.Struct, frozen=True, tag_field="do", tag="ask"):
    """Take this on. `deadline` in Unix ms; `again`: its client says that it hands it in once more."""

    n: Number
    id: _Name
    dest: Number
    deadline: Number
    message_class: _Name = msgspec.field(name="class")
    key: _Text | None = None
    token: _Text | None = None
    again: bool = False

    def message(self, body: bytes) -> StoredMessage:
        """What is handed in."""
        return StoredMessage(self.id, self.message_class, self.dest, self.deadline, self.key, self.token,
                             self.again, body)


class Begin(msgspec.Struct, frozen=True, tag_field="do", tag="begin"):
    """The client has heard 202."""

    n: Number


class Withdraw(msgspec.Struct, frozen=True, tag_field="do", tag="withdraw"):
    """The client went before it was told, or the asker waits no more."""

    n: Number


class Answered(msgspec.Struct, frozen=True):
    """To an ask. `known`: owed already; `unsettled`: another client hands it in just now; `away`: not served here."""

    n: Number
    kind: Literal["taken", "known", "unsettled", "bad", "full", "away"] = msgspec.field(name="is")
    why: str = ""


Said = Ask | Begin | Withdraw
_SAID: dict[str, type[Said]] = {"ask": Ask, "begin": Begin, "withdraw": Withdraw}


def ask_head(number: int, message: StoredMessage) -> dict[str, Any]:
    """The head of an ask; the message's body goes with it."""
    return {"do": "ask", "n": number, "id": message.id, "class": message.message_class, "dest": message.destination,
            "deadline": message.deadline_ms, "key": message.key, "token": message.token, "again": message.resubmitted}


def said(head: dict[str, Any]) -> Said:
    """What an asker says. `msgspec.ValidationError` where it is none of this."""
    do = head.get("do")
    kind = _SAID.get(do) if isinstance(do, str) else None  # a union would be taken apart anew for each head
    if kind is None:
        raise msgspec.ValidationError("expected ask, begin or withdraw")
    one: Said = msgspec.convert(head, kind)
    return one


def answered(head: dict[str, Any]) -> Answered:
    """What an asker is told. `msgspec.ValidationError` where it is none of this."""
    return msgspec.convert(head, Answered)
