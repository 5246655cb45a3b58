"""Where a message goes, and whether its tenant may hand it in. No I/O: requests and a clock in, decisions out."""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from fnmatch import fnmatchcase

from wheelstep.standalone.model import RoutePart, Standalone, TenantPart


@dataclass(frozen=True, slots=True)
class Asked:
    """What routes look at."""

    tenant: str
    message_class: str
    path: str
    key: str | None
    headers: Mapping[str, str]  # names in lower case


@dataclass(frozen=True, slots=True)
class Way:
    """Where a message goes, and where a copy of it goes."""

    destination: str
    mirror: str | None = None


class Routes:
    """The routes of one file."""

    def __init__(self, found: Standalone) -> None:
        self._routes = found.routes
        self._unsafe = {name for name, part in found.classes.items() if part.effect == "unsafe"}

    def way(self, asked: Asked, name: str, serves: Callable[[str], bool]) -> Way | None:
        """The way of a message that its client calls `name`, or None where no route takes it. Without a key the name
        counts in its place: handed in once more it goes the same way. `serves` tells whether a destination has any
        endpoint that takes something new; without one its route's fallback counts, if that has."""
        for route in self._routes:
            if _matches(route, asked):
                destination = _weighted(route.weights, asked.key or name)
                if route.fallback is not None and not serves(destination) and serves(route.fallback):
                    destination = route.fallback
                # The file is checked for this as well: a copy of what may not run twice is never sent.
                mirror = route.mirror if asked.message_class not in self._unsafe else None
                return Way(destination, mirror)
        return None


def _matches(route: RoutePart, asked: Asked) -> bool:
    return ((route.tenant is None or route.tenant == asked.tenant)
            and (route.message_class is None or route.message_class == asked.message_class)
            and (route.path is None or fnmatchcase(asked.path, route.path))
            and (route.key is None or asked.key is not None and fnmatchcase(asked.key, route.key))
            and all((value := asked.headers.get(name.lower())) is not None and fnmatchcase(value, wanted)
                    for name, wanted in route.headers.items()))


def _weighted(weights: Mapping[str, int], by: str) -> str:
    """Rendezvous hashing: when a destination or a weight changes, only keys move that have to."""
    if len(weights) == 1:
        return next(iter(weights))
    best, found = -1.0, ""
    for name, weight in sorted(weights.items()):
        drawn = int.from_bytes(hashlib.blake2b(f"{name}\0{by}".encode("utf-8", "surrogateescape"),
                                               digest_size=8).digest(), "big")
        score = ((drawn + 1) / (2 ** 64 + 1)) ** (1.0 / weight)
        if score > best:
            best, found = score, name
    return found


@dataclass(slots=True)
class _Bucket:
    """A token bucket: `left` of the burst at `at_s`."""

    left: float
    at_s: float


@dataclass(slots=True)
class Tenants:
    """Who may hand in, and how much."""

    tenants: Mapping[str, TenantPart]
    held: Counter[str] = field(default_factory=Counter)  # messages whose end is owed
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def renew(self, tenants: Mapping[str, TenantPart]) -> None:
        """From a new file; what is held, and what was used of a rate, goes on counting."""
        self.tenants = tenants
        self._buckets = {name: bucket for name, bucket in self._buckets.items() if name in tenants}

    def open_to_all(self) -> str | None:
        """Who those are that name no token."""
        return next((name for name, part in self.tenants.items() if part.open), None)

    def named(self, token: str) -> str | None:
        """Whose token this is."""
        digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
        found = None
        for name, part in self.tenants.items():  # all of them, in time that tells nothing of the token
            for known in part.tokens:
                if hmac.compare_digest(digest, known):
                    found = name
        return found

    def wait_s(self, tenant: str, holder: str, hold_limit: int, now_s: float) -> float:
        """0 where it may hand one more in, which then counts; else after what time to come back. `holder` is what its
        messages are held under (`front.tenant_of`)."""
        part = self.tenants[tenant]
        if self.held[holder] >= max(1, int(part.held_share * hold_limit)):
            return 1.0
        bucket = self._buckets.setdefault(tenant, _Bucket(part.burst, now_s))
        bucket.left = min(part.burst, bucket.left + max(0.0, now_s - bucket.at_s) * part.rate_per_s)
        bucket.at_s = now_s
        if bucket.left < 1:
            return (1 - bucket.left) / part.rate_per_s
        bucket.left -= 1
        return 0.0

    def took(self, holder: str) -> None:
        """One of its messages is held."""
        self.held[holder] += 1

    def over(self, holder: str) -> None:
        """One of them has its end."""
        self.held[holder] -= 1
        if not self.held[holder]:
            del self.held[holder]
