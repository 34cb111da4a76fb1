"""Assigns class, tenant, key and deadline to statements, by the first configured rule that matches.

A rule names two classes: one for statements proved safe to repeat, one for all others.  No rule or hint makes
any other statement safe, except a rule with `trust`, which an operator sets for shapes with known effects,
such as a stored function that only reads.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from micadeck.mysql.statement import Kind, Statement
from micadeck.policy.settings import Idempotency, ServiceClass


@dataclass(frozen=True, slots=True)
class Rule:
    """Matches a statement if all conditions that are set match."""

    read: str
    write: str
    user: str | None = None
    schema: str | None = None
    shape: re.Pattern[str] | None = None
    tenant: str | None = None
    trust: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """How the engine treats a statement."""

    service_class: str
    tenant: str | None
    key: int | None
    deadline_us: int
    is_safe: bool


class Routes:
    """The rules and classes of one configuration."""

    def __init__(
        self, rules: Sequence[Rule], classes: Mapping[str, ServiceClass], tenants: Sequence[str]
    ) -> None:
        self._rules = tuple(rules)
        self._classes = classes
        self._tenants = frozenset(tenants)

    def route(self, statement: Statement, user: str, schema: str, *, is_bound: bool) -> Route:
        """`is_bound`: its transaction or pinned session ties it to one connection."""
        rule = next(each for each in self._rules if _matches(each, statement, user, schema))
        hint = dict(statement.hint)
        is_safe = not is_bound and (statement.is_safe or (rule.trust and statement.kind is Kind.WRITE))
        if hint.get("unsafe") is not None:
            is_safe = False
        name = rule.read if is_safe else rule.write
        hinted = self._classes.get(hint.get("class", ""))
        if hinted is not None and (hinted.idempotency is Idempotency.IDEMPOTENT) == is_safe:
            name = hinted.name
        service_class = self._classes[name]
        tenant = hint.get("tenant", rule.tenant)
        return Route(
            service_class=name,
            tenant=tenant if tenant in self._tenants else None,
            key=_key_hash(hint["key"]) if hint.get("key") else None,
            deadline_us=_deadline(hint.get("deadline_ms"), service_class.deadline_us),
            is_safe=is_safe,
        )


def _matches(rule: Rule, statement: Statement, user: str, schema: str) -> bool:
    return (
        (rule.user is None or rule.user == user)
        and (rule.schema is None or rule.schema == schema)
        and (rule.shape is None or rule.shape.search(statement.shape) is not None)
    )


def _key_hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest(), "big")


def _deadline(hint: str | None, class_deadline_us: int) -> int:
    """The class's deadline, which a hint may only shorten."""
    if hint is None or not re.fullmatch(r"[0-9]{1,8}", hint):
        return class_deadline_us
    return max(min(int(hint) * 1_000, class_deadline_us), 1)
