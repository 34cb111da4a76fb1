"""Which class, tenant, key and time a statement has: configured rules, the first that fits.

A rule names two classes: one for what is proved safe to run again, one for all else.  No rule and no hint
makes a statement safe that was not proved so, but for a rule with `trust`, which an operator writes for
shapes whose effects are known from elsewhere (a stored function that only reads).
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from micadeck.mysql.statements import Kind, Statement
from micadeck.policy.settings import Idempotency, ServiceClass


@dataclass(frozen=True, slots=True)
class Rule:
    """Fits a statement if each of its conditions that is set does."""

    read: str
    write: str
    user: str | None = None
    schema: str | None = None
    shape: re.Pattern[str] | None = None
    tenant: str | None = None
    trust: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """What the engine is told of a statement."""

    service_class: str
    tenant: str | None
    key: int | None
    deadline_us: int
    is_safe: bool


class Routes:
    """The rules of one configuration, over the classes of the engine's settings."""

    def __init__(
        self, rules: Sequence[Rule], classes: Mapping[str, ServiceClass], tenants: Sequence[str]
    ) -> None:
        self._rules = tuple(rules)
        self._classes = classes
        self._tenants = frozenset(tenants)

    def route(self, statement: Statement, user: str, schema: str, *, is_bound: bool) -> Route:
        """`is_bound`: it belongs to a transaction or a pinned session, and can run nowhere else."""
        rule = next(each for each in self._rules if _fits(each, statement, user, schema))
        hint = dict(statement.hint)
        is_safe = not is_bound and (statement.is_safe or (rule.trust and statement.kind is Kind.WRITE))
        if hint.get("unsafe") is not None:
            is_safe = False
        name = rule.read if is_safe else rule.write
        wanted = self._classes.get(hint.get("class", ""))
        if wanted is not None and (wanted.idempotency is Idempotency.IDEMPOTENT) == is_safe:
            name = wanted.name
        kind = self._classes[name]
        tenant = hint.get("tenant", rule.tenant)
        return Route(
            service_class=name,
            tenant=tenant if tenant in self._tenants else None,
            key=_key(hint["key"]) if hint.get("key") else None,
            deadline_us=_deadline(hint.get("deadline_ms"), kind.deadline_us),
            is_safe=is_safe,
        )


def _fits(rule: Rule, statement: Statement, user: str, schema: str) -> bool:
    return (
        (rule.user is None or rule.user == user)
        and (rule.schema is None or rule.schema == schema)
        and (rule.shape is None or rule.shape.search(statement.shape) is not None)
    )


def _key(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest(), "big")


def _deadline(hint: str | None, most_us: int) -> int:
    """A hint may shorten a class's time, never stretch it."""
    if hint is None or not re.fullmatch(r"[0-9]{1,8}", hint):
        return most_us
    return max(min(int(hint) * 1_000, most_us), 1)
