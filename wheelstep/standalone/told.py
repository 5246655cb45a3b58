"""Reports the terminal outcomes of messages where there is no platform: to `OutcomeStore`, and to the `notify` address
of the file."""

from __future__ import annotations

import asyncio

from wheelstep.courier.core import Core
from wheelstep.courier.notifier import Notifier
from wheelstep.standalone.ends import OutcomeStore, TerminalOutcome
from wheelstep.standalone.front import StandaloneClientApi, is_mirror_copy, tenant_of

_CLIENT_OUTCOMES = {"delivered": "delivered", "handed_back": "refused", "given_up": "failed"}


class OutcomeReporter:
    """Takes the place of the platform's notices. Stores every outcome in `OutcomeStore`, sends undelivered ones to
    `notices` too if the file has `notify`, and releases the tenant's share. The journal owes an outcome until all of
    them have it."""

    def __init__(self, client_api: StandaloneClientApi, core: Core) -> None:
        self._client_api, self._core = client_api, core
        self.outcomes: OutcomeStore | None = None
        self.notices: Notifier | None = None
        self._half_confirmed: set[str] = set()  # confirmed by one of the two; bounded by the limit of held messages

    def confirm(self, names: list[str]) -> None:
        """Note that the store or `notices` has these messages' outcomes; tell the core of those confirmed by all."""
        confirmed = []
        for name in names:
            if self.notices is None or name in self._half_confirmed:
                self._half_confirmed.discard(name)
                confirmed.append(name)
            else:
                self._half_confirmed.add(name)
        if confirmed:
            self._core.answered(confirmed)

    def enqueue(self, message: str, outcome: str, retry_ms: int) -> None:
        """Report the outcome of a message: "delivered", "handed_back" or "given_up"."""
        if is_mirror_copy(message):
            asyncio.get_running_loop().call_soon(self._core.answered, [message])
            return
        assert self.outcomes is not None
        self._client_api.tenants.release(tenant_of(message))
        self.outcomes.add(message, TerminalOutcome.now(_CLIENT_OUTCOMES[outcome], retry_ms))
        if self.notices is not None:
            if outcome == "delivered":
                self.confirm([message])
            else:
                self.notices.enqueue(message, outcome, retry_ms)
