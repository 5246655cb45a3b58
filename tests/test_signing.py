"""Signatures of calls: what an ordinary library of partners verifies, and keys that are replaced."""

from __future__ import annotations

import base64
import json
import os
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import Call, run
from standardwebhooks.webhooks import Webhook, WebhookVerificationError
from test_standalone import Standalone

from wheelstep.standalone import signing, start
from wheelstep.standalone.model import FileError, parse
from wheelstep.standalone.signing import KeyFileError, Signer, read_key


def verify(key: str, call: Call) -> Any:
    """As a partner does that uses the specification's own library."""
    return Webhook(key).verify(call.body, call.headers)


def test_calls_are_signed_and_a_key_is_replaced_without_a_refused_call(tmp_path: Path) -> None:
    """Old key, both, the new one: partners with either key verify what they get at each step."""
    async def scene() -> None:
        s = Standalone(tmp_path)
        start.write_key(tmp_path / "old.key")
        old = (tmp_path / "old.key").read_text().strip()
        s.text = s.text.replace("[destination.beta]", 'sign = ["file:old.key"]\n[destination.beta]')
        async with s:
            async def hand_in(name: str) -> Call:
                before = len(s.alpha.calls)
                assert (await s.ask("POST", "/a/1", X_Request_Id=name, X_Class="pay"))[0] == 202
                return (await s.alpha.wait(before + 1))[before]
            call = await hand_in("m1")
            assert call.headers["webhook-id"] == "one~m1"
            verify(old, call)
            start.write_key(tmp_path / "new.key")
            new = (tmp_path / "new.key").read_text().strip()
            with pytest.raises(WebhookVerificationError):
                verify(new, call)
            await s.renew('sign = ["file:old.key"]', 'sign = ["file:new.key", "file:old.key"]')
            await s.wait_log("read again")
            call = await hand_in("m2")
            verify(old, call)
            verify(new, call)
            await s.renew('sign = ["file:new.key", "file:old.key"]', 'sign = ["file:new.key"]')
            await s.wait_log("read again", 2)
            call = await hand_in("m3")
            verify(new, call)
            with pytest.raises(WebhookVerificationError):
                verify(old, call)
            os.chmod(tmp_path / "new.key", 0o644)  # a reload that can't read its keys changes nothing
            await s.renew("[class.note]", "[class.other]\neffect = \"safe\"\n[class.note]")
            await s.wait_log("destination.alpha.sign: file:new.key: mode 644; expected")
            verify(new, await hand_in("m4"))
            assert not any(key[6:] in line for line in s.log for key in (old, new))
            await s.stop()
    run(scene())


@given(st.binary(min_size=24, max_size=64), st.text(st.characters(codec="ascii", min_codepoint=33), min_size=1),
       st.dictionaries(st.text(), st.integers()))
def test_the_specifications_library_takes_what_is_signed(key: bytes, name: str, body: dict[str, int]) -> None:
    text = json.dumps(body).encode()
    headers = dict(Signer((key,)).headers(name, text, int(time.time())))
    assert Webhook(base64.b64encode(key).decode()).verify(text, headers) == body
    for changed in (dict(headers, **{"webhook-id": name + "x"}), dict(headers, **{"webhook-signature": "v1,AAAA"})):
        with pytest.raises(WebhookVerificationError):
            Webhook(base64.b64encode(key).decode()).verify(text, changed)


def test_keys_that_can_not_be_used_are_said_without_what_they_are(tmp_path: Path) -> None:
    with pytest.raises(KeyFileError, match="is not set"):
        read_key("env:NONE", tmp_path, {})
    with pytest.raises(KeyFileError, match="can't be read"):
        read_key("file:none", tmp_path, {})
    for text in ("whsec_short", "not base64!", ""):
        with pytest.raises(KeyFileError, match="holds no key") as found:
            read_key("env:K", tmp_path, {"K": text})
        assert not text or text not in str(found.value)
    (tmp_path / "open").write_text(signing.new_key())
    os.chmod(tmp_path / "open", 0o640)
    with pytest.raises(KeyFileError, match="mode 640; expected"):
        read_key("file:open", tmp_path, {})
    with pytest.raises(FileError, match="is there already"):
        start.write_key(tmp_path / "open")
    os.chmod(tmp_path / "open", 0o400)
    assert len(read_key("file:open", tmp_path, {})) == 32
    assert len({read_key("env:K", tmp_path, {"K": signing.new_key()}) for _ in range(2)}) == 2


@pytest.mark.parametrize(("line", "expected"), [
    ('sign = ["secret"]', "sign[0]: is no place of a key"), ('sign = ["env:A"]\nbatch = 2', "a signature is of one")])
def test_what_can_not_be_signed_is_refused(line: str, expected: str) -> None:
    text = """
listen = "127.0.0.1:0"
state = "s"
[class.a]
effect = "safe"
[destination.d]
LINE
[[route]]
to = "d"
[tenant.t]
open = true
"""
    with pytest.raises(FileError, match=expected.replace("[", r"\[")):
        parse(text.replace("LINE", line), "x")
