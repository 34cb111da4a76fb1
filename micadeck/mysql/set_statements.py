"""Classifies SET: which assignments can be repeated on another connection."""

from __future__ import annotations

import re
from collections.abc import Sequence

from sqlglot.tokenizer_core import Token, TokenType

from micadeck.mysql.statement import Kind, Pin, Statement

# Variables that are valid only on the connection where they were set, or are not session state.
_NOT_TRANSFERABLE = frozenset(
    """
    last_insert_id identity insert_id timestamp rand_seed1 rand_seed2 pseudo_thread_id
    pseudo_slave_mode sql_log_bin gtid_next transaction_read_only_next proxy_user external_user
    password role resource
    """.split()
)


def classify_set(tokens: Sequence[Token], words: Sequence[str], is_ambiguous: bool) -> Statement:
    """Classify a SET statement, whose first token is the word itself."""
    rest, names = list(tokens[1:]), list(words[1:])
    if is_ambiguous or not rest:
        return Statement(Kind.OPAQUE, frozenset((Pin.VARIABLE,)))
    if names[0] in ("global", "persist", "persist_only", "password", "default"):
        return Statement(Kind.OPAQUE)
    if "transaction" in names[:2] and "=" not in names:
        return _classify_set_transaction(names)
    if names[0] == "names" or names[:2] == ["character", "set"] or names[0] == "charset":
        return _classify_set_names(rest, names)
    assignments: list[tuple[str, str]] = []
    pins: set[Pin] = set()
    for part, part_names in _split_at_commas(rest, names):
        read = _parse_assignment(part, part_names)
        if read is None:
            is_user = part_names[:1] == ["@"] or part[0].token_type is TokenType.PARAMETER
            pins.add(Pin.USER_VARIABLE if is_user else Pin.VARIABLE)
            if "global" in part_names or "persist" in part_names:
                return Statement(Kind.OPAQUE, frozenset((Pin.VARIABLE,)))
        else:
            assignments.append(read)
    if pins:
        return Statement(Kind.OPAQUE, frozenset(pins))
    return Statement(Kind.SET, assignments=tuple(assignments))


def _split_at_commas(tokens: list[Token], names: list[str]) -> list[tuple[list[Token], list[str]]]:
    parts: list[tuple[list[Token], list[str]]] = [([], [])]
    depth = 0
    for token, name in zip(tokens, names, strict=True):
        depth += (token.token_type is TokenType.L_PAREN) - (token.token_type is TokenType.R_PAREN)
        if token.token_type is TokenType.COMMA and depth == 0:
            parts.append(([], []))
        else:
            parts[-1][0].append(token)
            parts[-1][1].append(name)
    return [part for part in parts if part[0]]


def _parse_assignment(tokens: list[Token], names: list[str]) -> tuple[str, str] | None:
    """A session variable and a literal, or None."""
    if names[:1] == ["@@"]:
        tokens, names = tokens[1:], names[1:]
        if names[:2] in (["session", "."], ["local", "."]):
            tokens, names = tokens[2:], names[2:]
    elif names[:1] in (["session"], ["local"]):
        tokens, names = tokens[1:], names[1:]
    if len(tokens) < 3 or tokens[1].token_type not in (TokenType.EQ, TokenType.COLON_EQ):
        return None
    name, value = names[0], tokens[2:]
    if not re.fullmatch(r"[a-z_0-9]+", name) or name in _NOT_TRANSFERABLE:
        return None
    sign = ""
    if value[0].token_type is TokenType.DASH and len(value) == 2:
        sign, value = "-", value[1:]
    if len(value) != 1:
        return None
    return (name, sign + literal) if (literal := _literal(value[0])) is not None else None


def _literal(token: Token) -> str | None:
    if token.token_type is TokenType.STRING:
        return "'" + token.text.replace("'", "''") + "'"
    if token.token_type is TokenType.NUMBER or re.fullmatch(r"[A-Za-z][A-Za-z0-9_-]*", token.text):
        return token.text
    return None


def _classify_set_names(tokens: list[Token], names: list[str]) -> Statement:
    words = [token.text for token in tokens]
    index = 2 if names[0] == "character" else 1
    charset = words[index] if len(words) > index else ""
    collation = words[index + 2] if len(words) == index + 3 and names[index + 1] == "collate" else ""
    is_name = re.compile(r"[A-Za-z0-9_]+")
    expected = index + 3 if collation else index + 1
    if names[0] != "names" or not is_name.fullmatch(charset) or len(words) != expected:
        return Statement(Kind.OPAQUE, frozenset((Pin.VARIABLE,)))
    value = charset + (f" COLLATE {collation}" if collation and is_name.fullmatch(collation) else "")
    return Statement(Kind.SET, assignments=(("names", value),))


_ISOLATION_LEVELS = {
    ("read", "uncommitted"): "READ-UNCOMMITTED",
    ("read", "committed"): "READ-COMMITTED",
    ("repeatable", "read"): "REPEATABLE-READ",
    ("serializable",): "SERIALIZABLE",
}


def _classify_set_transaction(names: list[str]) -> Statement:
    if names[0] not in ("session", "local"):
        if names[0] != "transaction":
            return Statement(Kind.OPAQUE)
        return Statement(Kind.OPAQUE, frozenset((Pin.NEXT_TRANSACTION,)))
    assignments = []
    rest = names[2:]
    parts = " ".join(rest).split(" , ")
    for part in parts:
        words = part.split()
        if words[:2] == ["isolation", "level"] and (level := _ISOLATION_LEVELS.get(tuple(words[2:]))):
            assignments.append(("transaction_isolation", f"'{level}'"))
        elif words in (["read", "only"], ["read", "write"]):
            assignments.append(("transaction_read_only", "1" if words[1] == "only" else "0"))
        else:
            return Statement(Kind.OPAQUE, frozenset((Pin.VARIABLE,)))
    return Statement(Kind.SET, assignments=tuple(assignments))
