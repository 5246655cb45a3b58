"""Signatures of calls: verification by the Standard Webhooks library, key rotation and unusable keys."""

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
from test_standalone import StandaloneProcess

from wheelstep.standalone import signing, start
from wheelstep.standalone.model import FileError, parse
from wheelstep.standalone.signing import KeyFileError, Signer, read_key


def verify(key: str, call: Call) -> Any:
    """Verify a call as a partner does, with the specification's own library."""
    return Webhook(key).verify(call.body, call.headers)


def test_key_rotation_keeps_every_call_verifiable(tmp_path: Path) -> None:
    """Guards against calls that partners reject during a rotation: the old key signs, then both, then the new one."""
    async def scenario() -> None:
        courier = StandaloneProcess(tmp_path)
        start.write_key(tmp_path / "old.key")
        old = (tmp_path / "old.key").read_text().strip()
        courier.text = courier.text.replace("[destination.beta]", 'sign = ["file:old.key"]\n[destination.beta]')
        async with courier:
            async def hand_in(name: str) -> Call:
                before = len(courier.alpha.calls)
                assert (await courier.ask("POST", "/a/1", X_Request_Id=name, X_Class="pay"))[0] == 202
                return (await courier.alpha.wait(before + 1))[before]
            call = await hand_in("m1")
            assert call.headers["webhook-id"] == "one~m1"
            verify(old, call)
            start.write_key(tmp_path / "new.key")
            new = (tmp_path / "new.key").read_text().strip()
            with pytest.raises(WebhookVerificationError):
                verify(new, call)
            await courier.reload('sign = ["file:old.key"]', 'sign = ["file:new.key", "file:old.key"]')
            await courier.wait_log("read again")
            call = await hand_in("m2")
            verify(old, call)
            verify(new, call)
            await courier.reload('sign = ["file:new.key", "file:old.key"]', 'sign = ["file:new.key"]')
            await courier.wait_log("read again", 2)
            call = await hand_in("m3")
            verify(new, call)
            with pytest.raises(WebhookVerificationError):
                verify(old, call)
            os.chmod(tmp_path / "new.key", 0o644)  # a reload with an unreadable key is rejected and changes nothing
            await courier.reload("[class.note]", "[class.other]\neffect = \"safe\"\n[class.note]")
            await courier.wait_log("destination.alpha.sign: file:new.key: mode 644; expected")
            verify(new, await hand_in("m4"))
            assert not any(key[6:] in line for line in courier.log for key in (old, new))
            await courier.stop()
    run(scenario())


@given(st.binary(min_size=24, max_size=64), st.text(st.characters(codec="ascii", min_codepoint=33), min_size=1),
       st.dictionaries(st.text(), st.integers()))
def test_signatures_verify_with_the_reference_library_and_altered_headers_do_not(
        key: bytes, name: str, body: dict[str, int]) -> None:
    """Guards against signatures that deviate from the specification for unusual keys, names or bodies."""
    text = json.dumps(body).encode()
    headers = dict(Signer((key,)).headers(name, text, int(time.time())))
    assert Webhook(base64.b64encode(key).decode()).verify(text, headers) == body
    for changed in (dict(headers, **{"webhook-id": name + "x"}), dict(headers, **{"webhook-signature": "v1,AAAA"})):
        with pytest.raises(WebhookVerificationError):
            Webhook(base64.b64encode(key).decode()).verify(text, changed)


def test_errors_about_unusable_keys_do_not_contain_the_key(tmp_path: Path) -> None:
    """Guards against leaks of keys in error messages, and against key files that others may read."""
    with pytest.raises(KeyFileError, match="is not set"):
        read_key("env:NONE", tmp_path, {})
    with pytest.raises(KeyFileError, match="can't be read"):
        read_key("file:none", tmp_path, {})
    for text in ("whsec_short", "not base64!", ""):
        with pytest.raises(KeyFileError, match="is not a valid key") as found:
            read_key("env:K", tmp_path, {"K": text})
        assert not text or text not in str(found.value)
    (tmp_path / "open").write_text(signing.new_key())
    os.chmod(tmp_path / "open", 0o640)
    with pytest.raises(KeyFileError, match="mode 640; expected"):
        read_key("file:open", tmp_path, {})
    with pytest.raises(FileError, match="already exists; expected a new name"):
        start.write_key(tmp_path / "open")
    os.chmod(tmp_path / "open", 0o400)
    assert len(read_key("file:open", tmp_path, {})) == 32
    assert len({read_key("env:K", tmp_path, {"K": signing.new_key()}) for _ in range(2)}) == 2


@pytest.mark.parametrize(("line", "expected"), [
    ('sign = ["secret"]', "sign[0]: is not a key location"), ('sign = ["env:A"]\nbatch = 2', "a signature is of one")])
def test_a_file_with_an_invalid_sign_setting_is_rejected(line: str, expected: str) -> None:
    """Guards against keys written into the file, and batches, which a signature of one message can't cover."""
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
