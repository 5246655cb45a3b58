"""Signatures of calls by the Standard Webhooks specification (v1, symmetric): what was sent, by whom, and when.

`Signer` does no I/O; `read_key` reads a key where the operator's file says that it is.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import os
import secrets
import stat
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

_PREFIX = "whsec_"
_LEAST, _MOST = 24, 64  # bytes of a key (Standard Webhooks, "Signature scheme")


class KeyFileError(Exception):
    """A key can't be used. Says where it is looked for, never what it is."""


@dataclass(frozen=True, slots=True)
class Signer:
    """Signs with each of its keys, so that partners may know the old or the new one while a key is replaced."""

    keys: tuple[bytes, ...]

    def headers(self, name: str, body: bytes, now_s: int) -> tuple[tuple[str, str], ...]:
        """Those of one message. Its name is the same in each attempt, the time is that of the attempt."""
        signed = f"{name}.{now_s}.".encode() + body
        signatures = " ".join("v1," + base64.b64encode(hmac.digest(key, signed, "sha256")).decode()
                              for key in self.keys)
        return (("webhook-id", name), ("webhook-timestamp", str(now_s)), ("webhook-signature", signatures))


def new_key() -> str:
    """A key in the specification's form."""
    return _PREFIX + base64.b64encode(secrets.token_bytes(32)).decode()


def fingerprint(key: bytes) -> str:
    """What an operator may compare and log: tells nothing of the key."""
    return hashlib.sha256(b"umberchute key\0" + key).hexdigest()[:12]


def read_key(where: str, folder: Path, environ: Mapping[str, str]) -> bytes:
    """The key at `file:NAME`, relative to the folder, or `env:NAME`. Raises `KeyFileError`."""
    kind, _, name = where.partition(":")
    if kind == "env":
        if name not in environ:
            raise KeyFileError(f"{where}: is not set; expected a key in the environment")
        return _decode(environ[name], where)
    path = folder / name
    try:
        handle = os.open(path, os.O_RDONLY)
        with os.fdopen(handle, encoding="ascii") as file:
            mode = os.fstat(handle).st_mode  # of what is read, not of what the name stood for a moment ago
            if not stat.S_ISREG(mode) or mode & 0o077:
                raise KeyFileError(f"{where}: mode {stat.S_IMODE(mode):o}; expected a plain file that only its owner "
                                   "can read, such as 600")
            return _decode(file.read(1024), where)
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(f"{where}: can't be read: {type(error).__name__}; expected a key in {path}") from error


def _decode(text: str, where: str) -> bytes:
    try:
        key = base64.b64decode(text.strip().removeprefix(_PREFIX), validate=True)
    except binascii.Error:
        key = b""
    if not _LEAST <= len(key) <= _MOST:
        raise KeyFileError(f"{where}: holds no key; expected {_PREFIX} and {_LEAST} to {_MOST} bytes in base64")
    return key


def read_signers(keys: Mapping[str, Sequence[str]], folder: Path, environ: Mapping[str, str]) -> dict[str, Signer]:
    """By destination, from where each one's keys are. Raises `KeyFileError`."""
    found = {}
    for name, places in keys.items():
        try:
            found[name] = Signer(tuple(read_key(where, folder, environ) for where in places))
        except KeyFileError as error:
            raise KeyFileError(f"destination.{name}.sign: {error}") from error
    return found
