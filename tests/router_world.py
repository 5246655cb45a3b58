"""Two or three routers, clients that retry, asks that are lost or arrive late, and a small model that checks the rules.

Each id and each ordered key is handed in at one courier, as clients do. Each courier has its own view of the homes.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from wheelstep.shards.hosting import ShardPhase
from wheelstep.shards.router import (
    Answer,
    Ask,
    BeGuest,
    Decision,
    NoAnswer,
    Request,
    Router,
    Take,
    View,
    Wait,
)

S = 1_000_000
SETTLE = S
MOST_DOUBTS, MOST_TAKEN = 5, 400
NAMES = ("a", "b", "c")


@dataclass
class Hand:
    """One hand-in of a message by its client."""

    at: str
    message: Request
    since_us: int
    asks: int = 0


@dataclass
class Flight:
    """An ask in transit."""

    hand: Hand
    to: str
    delivered: bool = False
    reply: Answer | None = None
    given_up: bool = False


@dataclass
class Courier:
    """The state that a node keeps around its router."""

    router: Router
    home: str | None = None
    opening: bool = False
    guest: bool = False
    held: dict[str, Request] = field(default_factory=dict)
    ended: set[str] = field(default_factory=set)


class World:
    """With `steady`, one home that all agree on and room for few keys; otherwise views change and differ."""

    def __init__(self, seed: int, kind: type[Router] = Router) -> None:
        self.rng = random.Random(seed)
        self.steady = self.rng.random() < 0.3
        self.max_passed = 1 if self.steady else 200
        self.now = 0
        self.couriers = {name: Courier(kind(name, SETTLE, MOST_DOUBTS, self.max_passed, 3, S, MOST_TAKEN),
                                       "b" if self.steady else None) for name in NAMES}
        self.messages: list[tuple[str, Request]] = []  # with the courier that the client uses
        self.done: set[str] = set()  # ids whose clients have received 202
        self.taken: dict[str, str] = {}
        self.flights: list[Flight] = []
        self.waiting: list[Hand] = []
        self.count = 0

    def view(self, name: str, message: Request) -> View:
        """The courier's present view of the message's shard."""
        courier = self.couriers[name]
        owes = any(other.key == message.key is not None for other in courier.held.values())
        if courier.home == name:
            phase: ShardPhase | None = ShardPhase.OPENING if courier.opening else ShardPhase.HOME
        elif courier.guest:
            phase = ShardPhase.GUEST
        else:
            phase = ShardPhase.LEAVING if courier.held else None
        return View(phase, courier.home, owes, 0, self.rng.random() < 0.9, courier.guest and self.rng.random() < 0.8)

    def take(self, name: str, message: Request) -> None:
        """The courier takes the message; checks that it is the only one, and the key is open nowhere else."""
        assert self.taken.setdefault(message.id, name) == name, "taken at two couriers"
        for other, courier in self.couriers.items():
            if other != name and message.key is not None:
                assert all(held.key != message.key for held in courier.held.values()), "a key is open at two couriers"
        self.couriers[name].held[message.id] = message

    def follow(self, hand: Hand, decision: Decision | None) -> None:
        """Carries out a decision."""
        match decision:
            case Take():
                self.take(hand.at, hand.message)
                self.told(hand.message)
            case Ask(courier):
                hand.asks += 1
                assert hand.asks == 1, "asked twice for one hand-in"
                assert courier != hand.at
                self.flights.append(Flight(hand, courier))
            case BeGuest() | Wait():
                if isinstance(decision, BeGuest):
                    self.couriers[hand.at].guest = True
                hand.since_us = self.now
                self.waiting.append(hand)

    def told(self, message: Request) -> None:
        """The client receives its answer, or the answer is lost."""
        if self.rng.random() < 0.7:  # otherwise the answer is lost and the client retries
            self.done.add(message.id)

    def hand_in(self, at: str, message: Request) -> None:
        """A client hands the message in."""
        courier = self.couriers[at]
        if message.id in courier.held:
            self.told(message)
        elif message.id not in courier.ended and message.until_us > self.now:
            hand = Hand(at, message, self.now)
            self.follow(hand, courier.router.decide(self.now, message, self.view(at, message)))

    def new(self) -> None:
        """A new message."""
        self.count += 1
        key = self.rng.choice([None, "k0", "k1", "k2", "k3"])
        at = {"k0": "a", "k1": "a", "k2": "a", "k3": "c"}.get(str(key)) or self.rng.choice("ac")
        message = Request(f"m{self.count}", 1, 0, "x", key, self.now + self.rng.randrange(S, 20 * S))
        self.messages.append((at, message))
        self.hand_in(at, message)

    def again(self) -> None:
        """A client that has no answer retries."""
        open_ones = [each for each in self.messages[-12:] if each[1].id not in self.done]
        if open_ones:
            self.hand_in(*self.rng.choice(open_ones))

    def fly(self) -> None:
        """An ask arrives, or is answered, or its asker gives up, after which it may still arrive."""
        if not self.flights:
            return
        flight = self.rng.choice(self.flights)
        message, asker = flight.hand.message, self.couriers[flight.hand.at]
        if not flight.delivered and self.rng.random() < 0.6:
            flight.delivered = True
            flight.reply = self.arrive(flight.to, message)
        elif flight.given_up:
            self.flights.remove(flight)
        else:
            answer = flight.reply if flight.delivered and flight.reply and self.rng.random() < 0.7 else Answer.SILENT
            if not flight.delivered and self.rng.random() < 0.4:
                answer = Answer.NOT_ASKED
            flight.given_up = True
            if flight.delivered or answer is Answer.NOT_ASKED:
                self.flights.remove(flight)
            if answer in (Answer.TAKEN, Answer.KNOWN):
                self.told(message)
            decision = asker.router.answered(self.now, message, flight.to, answer, self.view(flight.hand.at, message))
            self.follow(flight.hand, decision)

    def arrive(self, name: str, message: Request) -> Answer | None:
        """The asked courier's answer; None if there is none."""
        courier = self.couriers[name]
        if message.id in courier.held:
            return Answer.KNOWN
        if message.until_us <= self.now or self.rng.random() < 0.1:
            return Answer.FULL
        decision = courier.router.asked(self.now, message, self.view(name, message))
        assert not isinstance(decision, Ask), "passed on by one that was asked"
        if isinstance(decision, Take):
            self.take(name, message)
            return Answer.TAKEN
        return None if isinstance(decision, NoAnswer) else Answer.AWAY if decision is None else Answer.FULL

    def wait(self) -> None:
        """A message that waited for its shard is decided about again."""
        if self.waiting:
            hand = self.waiting.pop(self.rng.randrange(len(self.waiting)))
            courier = self.couriers[hand.at]
            if (hand.message.id not in courier.held and hand.message.until_us > self.now
                    and self.now < hand.since_us + S):  # clients do not wait longer
                decision = courier.router.decide(self.now, hand.message, self.view(hand.at, hand.message))
                self.follow(hand, decision)

    def change(self) -> None:
        """A courier's view of its home changes."""
        name = self.rng.choice(NAMES)
        courier = self.couriers[name]
        if not self.steady:
            courier.home = self.rng.choice((*NAMES, None))
        courier.opening = not self.steady and self.rng.random() < 0.3
        courier.guest = courier.guest and (bool(courier.held) or self.rng.random() < 0.5)

    def end(self, chance: float = 0.15) -> None:
        """Some messages end."""
        for courier in self.couriers.values():
            for name, message in list(courier.held.items()):
                if message.until_us + SETTLE <= self.now or self.rng.random() < chance:
                    del courier.held[name]
                    if self.rng.random() < 0.5:
                        courier.ended.add(name)  # otherwise forgotten: only the router knows of it

    def step(self) -> None:
        """One random step, and the checks of sizes."""
        if self.rng.random() < 0.5:
            self.now += self.rng.choice([1, 1_000, 200_000, S])
            self.end(0.0)
        self.rng.choice([self.new, self.again, self.again, self.fly, self.fly, self.fly, self.wait, self.change,
                         self.end])()
        for courier in self.couriers.values():
            sizes = courier.router.sizes()
            assert sizes["asks"] <= MOST_DOUBTS, "too many asks"
            assert sizes["taken"] <= MOST_TAKEN and sizes["passed"] <= self.max_passed, "too many remembered"


def play(seed: int, kind: type[Router] = Router, steps: int = 300) -> World:
    """Runs one world from one seed; raises `AssertionError` if a rule is broken."""
    world = World(seed, kind)
    for _ in range(steps):
        world.step()
    return world
