"""Validates the heads of forwarded frames. No I/O; imports msgspec.

The asking process sends `ask`, whose body is the message's, then `begin` or `withdraw`; the numbers of asks rise on one
connection. The owner sends an `Answer` to each ask, unless the ask was withdrawn before or the owner does not know
whether the message is accepted.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec

from wheelstep.journal import StoredMessage

Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]  # of an ask or a destination, or a time in Unix ms
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Text = Annotated[str, msgspec.Meta(max_length=1_024)]


class Ask(msgspec.Struct, frozen=True, tag_field="do", tag="ask"):
    """Asks the owner to take a message. `n`: number of the ask; `dest`: number of the destination; `deadline` in Unix
    ms; `token`: the client's idempotency key; `again`: the client says that it submitted the message before."""

    n: Number
    id: _Name
    dest: Number
    deadline: Number
    message_class: _Name = msgspec.field(name="class")
    key: _Text | None = None
    token: _Text | None = None
    again: bool = False

    def message(self, body: bytes) -> StoredMessage:
        """Return the message, with `body` as its body."""
        return StoredMessage(self.id, self.message_class, self.dest, self.deadline, self.key, self.token,
                             self.again, body)


class Begin(msgspec.Struct, frozen=True, tag_field="do", tag="begin"):
    """Tells the owner that the client was answered 202. `n`: number of the ask."""

    n: Number


class Withdraw(msgspec.Struct, frozen=True, tag_field="do", tag="withdraw"):
    """Tells the owner to forget the message of ask `n`: the client disconnected before it was answered, or the asking
    process stopped waiting for the owner."""

    n: Number


class Answer(msgspec.Struct, frozen=True):
    """Answers ask `n`. `taken`: accepted, so that `begin` or `withdraw` must follow; `known`: accepted before;
    `unsettled`: accepted for another client that has no answer yet; `bad`: invalid; `full`: no room; `away`: not served
    here. `why` tells the reason of the last three."""

    n: Number
    kind: Literal["taken", "known", "unsettled", "bad", "full", "away"] = msgspec.field(name="is")
    why: str = ""


AskerFrame = Ask | Begin | Withdraw
_ASKER_FRAME_TYPES: dict[str, type[AskerFrame]] = {"ask": Ask, "begin": Begin, "withdraw": Withdraw}


def ask_head(number: int, message: StoredMessage) -> dict[str, Any]:
    """Return the head of ask `number`; the body of its frame is the message's."""
    return {"do": "ask", "n": number, "id": message.id, "class": message.message_class, "dest": message.destination,
            "deadline": message.deadline_ms, "key": message.key, "token": message.token, "again": message.resubmitted}


def decode_asker_frame(head: dict[str, Any]) -> AskerFrame:
    """Return the frame that the asking process sent. Raises `msgspec.ValidationError` if it is invalid."""
    do = head.get("do")
    # Looked up here, as msgspec would analyse a union of the types anew for each head.
    kind = _ASKER_FRAME_TYPES.get(do) if isinstance(do, str) else None
    if kind is None:
        raise msgspec.ValidationError("expected ask, begin or withdraw")
    frame: AskerFrame = msgspec.convert(head, kind)
    return frame


def decode_answer(head: dict[str, Any]) -> Answer:
    """Return the owner's answer. Raises `msgspec.ValidationError` if it is invalid."""
    return msgspec.convert(head, Answer)
