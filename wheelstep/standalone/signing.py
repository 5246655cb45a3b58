"""Signatures of calls by the Standard Webhooks specification (v1, symmetric), over message name, time and body.

`Signer` does no I/O; `read_key` reads a key from the file or environment variable that the operator's file names.
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
_MIN_KEY_BYTES, _MAX_KEY_BYTES = 24, 64  # of a key (Standard Webhooks, "Signature scheme")


class KeyFileError(Exception):
    """A key can't be used. The message names the location of the key and never contains the key."""


@dataclass(frozen=True, slots=True)
class Signer:
    """Signs with each of its keys, so that partners may have either the old or the new one during a key rotation."""

    keys: tuple[bytes, ...]

    def headers(self, name: str, body: bytes, now_s: int) -> tuple[tuple[str, str], ...]:
        """Return the signature headers of an attempt made at `now_s` (Unix time); all attempts of a message have the
        same name."""
        signed = f"{name}.{now_s}.".encode() + body
        signatures = " ".join("v1," + base64.b64encode(hmac.digest(key, signed, "sha256")).decode()
                              for key in self.keys)
        return (("webhook-id", name), ("webhook-timestamp", str(now_s)), ("webhook-signature", signatures))


def new_key() -> str:
    """Generate a random key in the specification's form."""
    return _PREFIX + base64.b64encode(secrets.token_bytes(32)).decode()


def fingerprint(key: bytes) -> str:
    """Return a short hash that may be compared and logged without disclosing the key."""
    return hashlib.sha256(b"umberchute key\0" + key).hexdigest()[:12]


def read_key(location: str, folder: Path, environ: Mapping[str, str]) -> bytes:
    """Read the key at `file:NAME`, relative to the folder, or `env:NAME`. Raises `KeyFileError`."""
    kind, _, name = location.partition(":")
    if kind == "env":
        if name not in environ:
            raise KeyFileError(f"{location}: is not set; expected a key in the environment")
        return _decode(environ[name], location)
    path = folder / name
    try:
        descriptor = os.open(path, os.O_RDONLY)
        with os.fdopen(descriptor, encoding="ascii") as file:
            mode = os.fstat(descriptor).st_mode  # of the open file: the path may have been replaced since
            if not stat.S_ISREG(mode) or mode & 0o077:
                raise KeyFileError(f"{location}: mode {stat.S_IMODE(mode):o}; expected a plain file that only its "
                                   "owner can read, such as 600")
            return _decode(file.read(1024), location)
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(f"{location}: can't be read: {type(error).__name__}; expected a key in {path}") from error


def _decode(text: str, location: str) -> bytes:
    try:
        key = base64.b64decode(text.strip().removeprefix(_PREFIX), validate=True)
    except binascii.Error:
        key = b""
    if not _MIN_KEY_BYTES <= len(key) <= _MAX_KEY_BYTES:
        raise KeyFileError(
            f"{location}: is not a valid key; "
            f"expected {_PREFIX} and {_MIN_KEY_BYTES} to {_MAX_KEY_BYTES} bytes in base64")
    return key


def read_signers(keys: Mapping[str, Sequence[str]], folder: Path, environ: Mapping[str, str]) -> dict[str, Signer]:
    """Read the keys of each destination, given as locations by its name; return its signer by its name. Raises
    `KeyFileError`, which names the destination."""
    signers = {}
    for name, locations in keys.items():
        try:
            signers[name] = Signer(tuple(read_key(location, folder, environ) for location in locations))
        except KeyFileError as error:
            raise KeyFileError(f"destination.{name}.sign: {error}") from error
    return signers
