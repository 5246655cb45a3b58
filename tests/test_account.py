"""The account: what holds messages up, the causes of their time, and the sums over couriers."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import pytest
from helpers import MS, SAFE, S, SenderDriver, info
from loopback import Scene, free_address, host, run

from wheelstep import interface as api
from wheelstep.account.lines import LineError, read, write
from wheelstep.account.tally import Account, AccountBuilder
from wheelstep.cli.__main__ import main
from wheelstep.interface import EndpointState, Outcome, WaitReason

HEAD = {"once": [1.0, 2000, 10_000, 0.5, False], "ordered": [2.0, 2000, 10_000, 0.0, False]}


def held(drive: SenderDriver) -> list[WaitReason]:
    return [why for _, why, _ in drive.sender.wait_reasons(drive.now)]


def test_the_decision_module_reports_what_holds_messages_up() -> None:
    drive = SenderDriver(slots=8)
    assert drive.sender.wait_reasons(0) == []
    drive.members(info("e0", state=EndpointState.DRAINING))
    drive.submit("a")
    assert drive.sender.wait_reasons(drive.now) == [(7, WaitReason.GONE, 1)]
    drive.members(info("e0"))
    assert held(drive) == [WaitReason.RETURNING]


def test_a_full_window_is_told_from_no_slots() -> None:
    drive, other = SenderDriver(slots=8), SenderDriver(slots=1)
    for name in "abcd":
        drive.submit(name)
        other.submit(name)
    assert (held(drive), held(other)) == ([WaitReason.WINDOW], [WaitReason.SLOTS])
    assert drive.sender.wait_reasons(drive.now) == [(7, WaitReason.WINDOW, 2)]


@pytest.mark.parametrize("outcome,limit,why", [
    (Outcome.FULL, api.LimitReport(0.0, 10.0), WaitReason.LIMIT), (Outcome.FULL, None, WaitReason.CROWDED),
    (Outcome.CONNECT_FAILED, None, WaitReason.SICK)])
def test_a_limit_a_full_table_and_an_outage_are_told_apart(
        outcome: Outcome, limit: api.LimitReport | None, why: WaitReason) -> None:
    drive = SenderDriver(slots=8, senders=40, limits_reported=True)
    drive.submit("a")
    drive.end("a", Outcome.OK, limit=api.LimitReport(0.9, 40_000.0))
    drive.tick(drive.now + 30 * S)
    drive.submit("b")
    drive.end("b", outcome, limit=limit)
    drive.submit("c")
    assert held(drive) == [why]


def test_a_message_that_may_not_go_where_calls_fail_is_in_doubt() -> None:
    drive = SenderDriver(slots=8)
    for name in ("a", "b", "c", "d"):
        drive.submit(name)
        drive.end(name, Outcome.OK)
    drive.submit("e")
    drive.end("e", Outcome.ERROR)
    drive.submit("fee", cls=2)
    assert held(drive) == [WaitReason.DOUBT]


class FakeLogs:
    """Builds logs as couriers write them."""

    def __init__(self) -> None:
        self.book = AccountBuilder()
        self.takes: dict[str, Any] = {}

    def line(self, courier: str, at_ms: int, kind: str, *fields: Any) -> FakeLogs:
        if courier not in self.takes:
            self.takes[courier] = self.book.courier(courier)
            self.takes[courier](write(0, "head", courier, HEAD))
        self.takes[courier]("2026-12-01 10:00:00,000 INFO wheelstep.account " + write(at_ms, kind, *fields))
        return self

    def held(self, courier: str, until_ms: int, why: WaitReason, from_ms: int = 0) -> FakeLogs:
        for at_ms in range(from_ms + 250, until_ms + 1, 250):
            self.line(courier, at_ms, "gauge", 0, 0, 0, 0, [[7, why.value, 1]])
        return self

    def account(self) -> Account:
        return self.book.account()


@pytest.mark.parametrize("why,cause", [
    (WaitReason.LIMIT, "limit waited for"), (WaitReason.SICK, "sick destination"),
    (WaitReason.CROWDED, "connection not to be had"),
    (WaitReason.RETURNING, "destination on its way back"), (WaitReason.GONE, "no endpoint up"),
    (WaitReason.DOUBT, "no endpoint that it may go to"), (WaitReason.SLOTS, "slots or window"),
    (WaitReason.WINDOW, "slots or window"), (WaitReason.NOTHING, "connection not to be had")])
def test_a_late_delivery_is_put_on_what_held_its_destination_up(why: WaitReason, cause: str) -> None:
    logs = FakeLogs().line("n0", 0, "take", "m", "once", 7, None, 10_000, False).held("n0", 6000, why)
    logs.line("n0", 6000, "go", "m", 0, "e0").line("n0", 6000, "out", "m", 0, "e0", "ok", 0, True, 0.5, 10.0)
    account = logs.account()
    assert account.how == {"late": 1} and account.lost == pytest.approx(0.25)
    assert dict(account.causes) == {cause: pytest.approx(0.25)}
    assert sum(sum(row.values()) for row in account.seconds.values()) == pytest.approx(0.25)
    assert set(account.seconds) == set(range(6))


def test_a_refused_message_is_followed_from_courier_to_courier() -> None:
    logs = FakeLogs().line("n0", 0, "take", "m", "once", 7, None, 10_000, False)
    logs.line("n0", 100, "go", "m", 0, "e0").line("n0", 200, "out", "m", 0, "e0", "full", 100, False, None, None)
    logs.line("n0", 1000, "end", "m", "handed_back").line("n1", 2000, "door", "m", "once", 503)
    logs.line("n2", 4000, "take", "m", "once", 7, None, 6000, True)
    logs.line("n2", 5000, "go", "m", 0, "e1").line("n2", 6000, "out", "m", 0, "e1", "ok", 1000, True, 0.5, 10.0)
    account = logs.account()
    assert account.how == {"late": 1} and account.lost == pytest.approx(0.25)
    assert {name: round(lost / 0.25 * 6, 3) for name, lost in account.causes.items()} == {
        "connection not to be had": 1.1, "refused": 0.9, "with its client": 1.0, "refused at the door": 2.0,
        "being answered": 1.0}
    assert account.couriers == {"n2": pytest.approx(0.25)}
    assert sum(row.calls for row in account.fleet.values()) == 2
    assert sum(row.untold for row in account.fleet.values()) == 1


def test_what_was_taken_on_and_never_ended_is_lost_whole_once_its_time_is_over() -> None:
    logs = FakeLogs().line("n0", 0, "take", "m", "once", 7, None, 10_000, False)
    logs.line("n0", 10_400, "probe", "e0", "ok")
    assert (logs.account().pending, logs.account().lost) == (1, 0)
    logs.line("n0", 10_600, "probe", "e0", "ok")
    assert logs.account().how == {"never": 1} and dict(logs.account().causes) == {"never answered": 1.0}


def test_another_courier_ending_it_does_not_end_what_the_first_owes() -> None:
    logs = FakeLogs().line("n0", 0, "take", "m", "once", 7, None, 10_000, False)
    logs.line("n1", 10, "take", "m", "once", 7, None, 9990, True).line("n1", 500, "end", "m", "handed_back")
    logs.line("n1", 11_000, "probe", "e0", "ok")
    assert logs.account().how == {"never": 1}


def test_the_time_between_two_processes_is_put_on_the_courier_that_was_down() -> None:
    logs = FakeLogs().line("n0", 0, "take", "m", "once", 7, None, 10_000, False).held("n0", 1000, WaitReason.LIMIT)
    logs.line("n0", 5000, "head", "n0", HEAD).line("n0", 5100, "back", "m", "once", 7, None, 4900, False)
    logs.line("n0", 6000, "go", "m", 0, "e0").line("n0", 6000, "out", "m", 0, "e0", "ok", 0, True, 0.5, 10.0)
    causes = logs.account().causes
    assert causes["courier down"] == pytest.approx(0.25 * 4 / 6)
    assert causes["limit waited for"] == pytest.approx(0.25 / 6)


def test_a_message_behind_another_of_its_key_waits_in_order() -> None:
    logs = FakeLogs().line("n0", 0, "take", "first", "ordered", 7, "k", 10_000, False)
    logs.line("n0", 0, "take", "then", "ordered", 7, "k", 10_000, False).held("n0", 6000, WaitReason.LIMIT)
    logs.line("n0", 4000, "out", "first", 0, "e0", "ok", 0, True, None, None)
    logs.line("n0", 6000, "out", "then", 0, "e0", "ok", 0, True, None, None)
    rows = {row.message: row for row in logs.account().losses}
    parts = {name: sum(lost for span, lost in rows["then"].parts if span.cause.value == name)
             for name in ("order", "limit waited for")}
    assert parts["order"] == pytest.approx(2 * parts["limit waited for"]) and rows["then"].lost == pytest.approx(1.0)
    assert {span.cause.value for span, _ in rows["first"].parts} == {"limit waited for"}
    assert dict(logs.account().behind) == {"limit waited for": pytest.approx(parts["order"])}


def test_messages_behind_many_of_a_key_get_the_first_ones_cause_without_recursion() -> None:
    logs = FakeLogs()
    for number in range(3000):
        logs.line("n0", number, "take", f"m{number}", "ordered", 7, "k", 10_000, False)
    logs.held("n0", 6000, WaitReason.SICK)
    for number in range(3000):
        logs.line("n0", 6000 + number, "out", f"m{number}", 0, "e0", "ok", 0, True, None, None)
    account = logs.account()
    assert account.how == {"late": 3000}
    assert account.behind["sick destination"] >= 0.6 * account.causes["order"] > 0


def test_what_was_in_time_costs_nothing_and_a_failed_call_costs_its_length() -> None:
    logs = FakeLogs().line("n0", 0, "take", "good", "once", 7, None, 10_000, False)
    logs.line("n0", 1500, "out", "good", 0, "e0", "ok", 0, True, None, None)
    logs.line("n0", 0, "take", "bad", "once", 7, None, 10_000, False).line("n0", 0, "go", "bad", 0, "e0")
    logs.line("n0", 3000, "out", "bad", 0, "e0", "timeout", 3000, False, None, None)
    logs.line("n0", 3000, "end", "bad", "given_up")
    account = logs.account()
    assert account.how == {"in time": 1, "given_up": 1} and dict(account.causes) == {"sick destination": 1.0}
    assert [row.message for row in account.losses] == ["bad"]


@pytest.mark.parametrize("text", [
    'account: [1,"take","m"', 'account: [1,"take","m"]', 'account: {"a":1}', "account: 5", 'account: [1,"dance",1]',
    'account: ["x","end","m","given_up"]', "account: " + "[" * 5000])
def test_damaged_lines_are_counted_and_passed_over(text: str) -> None:
    with pytest.raises(LineError, match="expected"):
        read(text)
    logs = FakeLogs().line("n0", 0, "take", "m", "once", 7, None, 10_000, False)
    logs.takes["n0"](text)
    logs.takes["n0"]("a plain line of the log\n")
    assert (logs.book.damaged, logs.account().messages) == (1, 1)


def test_a_gauge_of_a_later_version_spoils_nothing() -> None:
    logs = FakeLogs().line("n0", 0, "take", "m", "once", 7, None, 10_000, False)
    logs.line("n0", 250, "gauge", 0, 0, 0, 0, [[7, "a new wait reason", 1]])
    logs.line("n0", 6000, "out", "m", 0, "e0", "ok", 0, True, None, None)
    assert logs.book.damaged == 1 and logs.account().lost == pytest.approx(0.25)


def test_handshakes_and_list_calls_add_up_over_restarts() -> None:
    logs = FakeLogs().line("n0", 100, "gauge", 0, 3, 5, 1, []).line("n0", 350, "gauge", 0, 4, 7, 1, [])
    logs.line("n0", 2000, "head", "n0", HEAD).line("n0", 2250, "gauge", 0, 2, 2, 1, [])
    fleet = logs.account().fleet
    assert sum(row.handshakes for row in fleet.values()) == 9 and sum(row.lists for row in fleet.values()) == 2
    assert [fleet[second].links for second in (0, 2)] == [4, 2]


def test_the_account_command_reads_a_couriers_log(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    operator = tmp_path / "operator.toml"
    operator.write_text("[account]\non = true\n")
    logs = tmp_path / "logs"
    logs.mkdir()

    async def work() -> None:
        async with Scene(tmp_path, operator) as scene:
            scene.platform.push(host("e9", free_address(), block=9))
            assert await scene.courier.hand_in("m1") == 202
            await scene.courier.wait_log('"out","m1",0,"e0","ok"')
            assert await scene.courier.hand_in("m2", "ordered", "some/key") == 202
            await scene.courier.wait_log('"out","m2",0,"e0","ok"')
            assert await scene.courier.hand_in("lost", X_Consignee="dest=9", X_Deadline_Ms="1500") == 202
            await scene.platform.wait_notice("lost")
            await scene.courier.wait_log('"gauge"')
            await scene.courier.kill()
            gauges = sum('"gauge"' in line for line in scene.courier.log)
            await scene.courier.start()
            await scene.courier.wait_log('"gauge"', gauges + 1)
            (logs / "n0.log").write_text("".join(scene.courier.log))
    run(work())
    assert "some/key" not in (logs / "n0.log").read_text()
    assert main(["account", "show", str(logs), "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["how"] == {"in time": 2, "handed_back": 1} and found["messages"] == 3 and not found["damaged_lines"]
    assert sum(row["lists"] for row in found["fleet"].values()) == 2
    for by in ("cause", "second", "class", "courier"):
        assert main(["account", "show", str(logs / "n0.log"), "--by", by]) == 0
    assert main(["account", "trace", "m1", str(logs)]) == 0
    assert [line.split("n0")[1].split()[0] for line in capsys.readouterr().out.splitlines()[-3:]] == [
        "accepted:", "attempt", "attempt"]


def test_the_command_reports_unreadable_logs_on_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "plain.log").write_text("nothing of that kind\n")
    for words in (["show", str(tmp_path / "none")], ["show", str(tmp_path)], ["trace", "m1", str(tmp_path)]):
        assert main(["account", *words]) == 2
        error = capsys.readouterr().err
        assert error.count("\n") == 1 and "expected" in error


def test_without_the_account_nothing_is_imported_or_written(tmp_path: Path) -> None:
    async def work() -> None:
        async with Scene(tmp_path) as scene:
            assert await scene.courier.hand_in("m1") == 202
            await scene.endpoint.wait(1)
            await scene.courier.terminate()
            assert not any("account" in line for line in scene.courier.log)
    run(work())

    async def modules() -> bytes:
        code = ("import sys, wheelstep.courier.__main__; "
                "print([name for name in sys.modules if name.startswith('wheelstep.account')])")
        process = await asyncio.create_subprocess_exec(sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE)
        return (await process.communicate())[0]
    assert asyncio.run(modules()).strip() == b"[]"


def test_classes_hold_what_the_settings_say() -> None:
    from wheelstep.account.log import Class
    cls = Class(SAFE.worth, SAFE.promise_us // MS, SAFE.deadline_us // MS, SAFE.late_worth, False)
    assert [cls.worth_after(at_ms) for at_ms in (0, 2000, 11_000, 20_000)] == [1.0, 1.0, 0.75, 0.0]
    halves = Class(4.0, 1000, 20_000, 0.1, True)
    assert [halves.worth_after(at_ms) for at_ms in (1000, 2000, 3000, 19_000)] == [4.0, 2.0, 1.0, 0.4]
