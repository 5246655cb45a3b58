"""Routing of messages to destinations, and admission limits of tenants. No I/O; the clock is a parameter."""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from fnmatch import fnmatchcase

from wheelstep.standalone.model import RoutePart, Standalone, TenantPart


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """The attributes of a message that routes match on."""

    tenant: str
    message_class: str
    path: str  # without the query
    key: str | None  # by which messages are ordered and hashed
    headers: Mapping[str, str]  # names in lower case


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """The destination of a message, and that of its copy, if any."""

    destination: str
    mirror: str | None = None


class Routes:
    """Selects destinations by the routes of one file."""

    def __init__(self, file_config: Standalone) -> None:
        self._routes = file_config.routes
        self._unsafe = {name for name, part in file_config.classes.items() if part.effect == "unsafe"}

    def target(self, query: RouteQuery, name: str, serves: Callable[[str], bool]) -> RouteTarget | None:
        """Return the target of a message, or None if no route matches. A message without a key is hashed by `name`, its
        name with that of its tenant, so a repeated request gets the same target. `serves` returns whether a destination
        has an endpoint that takes new messages; if it has none, the route's fallback is used, provided that it has
        one."""
        for route in self._routes:
            if _matches(route, query):
                destination = _weighted(route.weights, query.key or name)
                if route.fallback is not None and not serves(destination) and serves(route.fallback):
                    destination = route.fallback
                # The file's validation rejects this too: an unsafe message must never be sent twice.
                mirror = route.mirror if query.message_class not in self._unsafe else None
                return RouteTarget(destination, mirror)
        return None


def _matches(route: RoutePart, query: RouteQuery) -> bool:
    return ((route.tenant is None or route.tenant == query.tenant)
            and (route.message_class is None or route.message_class == query.message_class)
            and (route.path is None or fnmatchcase(query.path, route.path))
            and (route.key is None or query.key is not None and fnmatchcase(query.key, route.key))
            and all((value := query.headers.get(name.lower())) is not None and fnmatchcase(value, pattern)
                    for name, pattern in route.headers.items()))


def _weighted(weights: Mapping[str, int], hash_key: str) -> str:
    """Choose by weighted rendezvous hashing: a changed destination or weight moves only the keys that must move."""
    if len(weights) == 1:
        return next(iter(weights))
    best_score, chosen = -1.0, ""
    for name, weight in sorted(weights.items()):
        hash_value = int.from_bytes(hashlib.blake2b(f"{name}\0{hash_key}".encode("utf-8", "surrogateescape"),
                                               digest_size=8).digest(), "big")
        score = ((hash_value + 1) / (2 ** 64 + 1)) ** (1.0 / weight)
        if score > best_score:
            best_score, chosen = score, name
    return chosen


@dataclass(slots=True)
class _Bucket:
    """A token bucket that held `left` tokens at time `at_s`."""

    left: float
    at_s: float


@dataclass(slots=True)
class Tenants:
    """Identifies tenants and enforces their rates and shares of held messages."""

    tenants: Mapping[str, TenantPart]
    held: Counter[str] = field(default_factory=Counter)  # messages not ended yet, by tenant part of their names
    _buckets: dict[str, _Bucket] = field(default_factory=dict)

    def update(self, tenants: Mapping[str, TenantPart]) -> None:
        """Apply the tenants of a new file; counts of held messages and used rates are kept."""
        self.tenants = tenants
        self._buckets = {name: bucket for name, bucket in self._buckets.items() if name in tenants}

    def anonymous(self) -> str | None:
        """Return the tenant of requests without a token, or None."""
        return next((name for name, part in self.tenants.items() if part.open), None)

    def by_token(self, token: str) -> str | None:
        """Return the tenant that the token belongs to, or None."""
        digest = hashlib.sha256(token.encode("utf-8", "surrogateescape")).hexdigest()
        owner = None
        for name, part in self.tenants.items():  # no early exit: the time taken must not depend on the token
            for known_digest in part.tokens:
                if hmac.compare_digest(digest, known_digest):
                    owner = name
        return owner

    def admission_wait_s(self, tenant: str, holder: str, hold_limit: int, now_s: float) -> float:
        """Admit one more message and return 0, or return the seconds to wait: 1 if the tenant holds its share of
        `hold_limit` messages, else until the rate allows one more. Admission consumes a token of the rate.
        `holder` is the name that the tenant's messages are counted under (`front.tenant_of`)."""
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

    def hold(self, holder: str) -> None:
        """Count a message that is now held."""
        self.held[holder] += 1

    def release(self, holder: str) -> None:
        """Remove an ended message from the count."""
        self.held[holder] -= 1
        if not self.held[holder]:
            del self.held[holder]
