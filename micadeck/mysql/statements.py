"""Classifies statements for routing: whether they are safe to repeat, and what they leave in the session.

sqlglot's tokenizer and parser and a few rules on the raw bytes must agree before a statement counts as safe:
how a server reads a comment, a backslash or a control character depends on `sql_mode` and on its version, so
texts with these are never proved safe.  What is not proved safe is unsafe; what can't be classified pins its
session to its connection.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import replace

from sqlglot import exp
from sqlglot.dialects.mysql import MySQL
from sqlglot.errors import SqlglotError
from sqlglot.tokenizer_core import Token, TokenType

from micadeck.mysql.long_texts import LEADING_COMMENT, first_words, has_further_statement, head_of, words_in
from micadeck.mysql.set_statements import classify_set
from micadeck.mysql.statement import Kind, Pin, Refusal, Statement

# MySQL functions that read only their arguments, tables, the clock and session variables.
_PURE_FUNCTIONS = frozenset(
    """
    abs acos adddate addtime aes_decrypt aes_encrypt any_value ascii asin atan atan2 avg benchmark
    bin bin_to_uuid bit_and bit_count bit_length bit_or bit_xor cast ceil ceiling char char_length
    character_length charset coalesce coercibility collation compress concat concat_ws conv convert
    convert_tz cos cot count crc32 cume_dist curdate current_date current_time current_timestamp
    current_user curtime database date date_add date_format date_sub datediff day dayname dayofmonth
    dayofweek dayofyear default degrees dense_rank elt exists exp export_set extract extractvalue
    field find_in_set first_value floor format format_bytes from_base64 from_days from_unixtime
    geomcollection get_format greatest group_concat grouping hex hour if ifnull in inet6_aton
    inet6_ntoa inet_aton inet_ntoa insert instr interval is_ipv4 is_ipv6 is_uuid isnull json_array
    json_arrayagg json_array_append json_contains json_contains_path json_depth json_extract
    json_insert json_keys json_length json_merge_patch json_merge_preserve json_object
    json_objectagg json_overlaps json_pretty json_quote json_remove json_replace json_search
    json_set json_storage_size json_table json_type json_unquote json_valid json_value lag last_day
    last_value lcase lead least left length ln localtime localtimestamp locate log log10 log2 lower
    lpad ltrim make_set makedate maketime max md5 microsecond mid min minute mod month monthname
    nth_value now ntile nullif oct octet_length ord percent_rank period_add period_diff pi position
    pow power quarter quote radians rand random_bytes rank regexp_instr regexp_like regexp_replace
    regexp_substr repeat replace reverse right round row row_number rpad rtrim schema sec_to_time
    second session_user sha sha1 sha2 sign sin sleep soundex space sqrt std stddev stddev_pop
    stddev_samp str_to_date strcmp subdate substr substring substring_index subtime sum sysdate
    system_user tan time time_format time_to_sec timediff timestamp timestampadd timestampdiff
    to_base64 to_days to_seconds trim truncate ucase uncompress uncompressed_length unhex
    unix_timestamp upper user utc_date utc_time utc_timestamp uuid uuid_short uuid_to_bin values
    var_pop var_samp variance version week weekday weekofyear weight_string year yearweek
    st_asgeojson st_astext st_contains st_distance st_distance_sphere st_geomfromtext st_intersects
    st_within st_x st_y point
    """.split()
)
# Words that are no function call when an opening parenthesis follows.
_NOT_FUNCTIONS = frozenset(
    """
    select from where and or not in exists all any some as on using join values over partition by
    having when then else case between like rlike regexp union except intersect distinct limit
    offset interval is null div mod xor with recursive group order window rows range key index use
    force ignore char varchar decimal numeric binary varbinary datetime timestamp time signed
    unsigned float double lateral for table straight_join end int integer set escape cross left
    right inner outer natural match against
    """.split()
)
_WRITE_WORDS = frozenset(
    """
    into update insert delete replace call lock get_lock release_lock procedure handler outfile
    dumpfile sql_calc_found_rows nextval setval lastval next_value
    """.split()
)
_INSERT_ID_WORDS = frozenset(("last_insert_id", "identity"))
_DIAGNOSTICS = frozenset(("found_rows", "row_count", "warning_count", "error_count", "statement_digest"))
_LOCK_FUNCTIONS = frozenset(("get_lock", "release_lock", "release_all_locks", "is_free_lock", "is_used_lock"))
_HINT = re.compile(rb"\s*/\*\s*micadeck:([^*/\\;'\"]*)\*/")
_AMBIGUOUS = re.compile(rb"--|#|/\*|\\|[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_LITERAL = re.compile(r"'(?:[^']++|'')*+'|\b0[xX][0-9a-fA-F]+\b|(?<![\w.`$])\d+(?:\.\d+)?(?:[eE][+-]?\d+)?\b")
_LIST = re.compile(r"\?(?:\s*,\s*\?){7,}")  # longer than the argument list of any function with a fixed count
_EIGHT_PLACEHOLDERS = ", ".join("?" * 8)
_ROWS = re.compile(r"(\([?,\s]+\))(?:\s*,\s*\1)+")
_SETS_INSERT_ID = re.compile(rb"last_insert_id\s*\((?!\s*\))", re.IGNORECASE)
_SET_OR_USE = re.compile(rb"\s*(?:set|use)\b", re.IGNORECASE)
_WITHOUT_QUOTES = re.compile(rb"[^\"`@]*")
_MAX_PARSED_BYTES = 1 << 12  # parsing takes 5 ms per KiB; a longer text counts as unsafe
_MAX_SHAPED_BYTES = 1 << 16  # finding literals takes up to 20 ms; a longer text is not parsed at all
_SHAPE_CHARACTERS = 256  # of a shape that are kept
_MAX_SHAPES = 4_096
_DIALECT = MySQL()

_NOT_UNDERSTOOD = Statement(Kind.OPAQUE, frozenset((Pin.NOT_UNDERSTOOD,)))


class StatementReader:
    """Classifies texts and caches by shape: texts that differ only in literals are parsed once."""

    def __init__(self, max_shapes: int = _MAX_SHAPES) -> None:
        self._max_shapes = max_shapes
        self._cache: OrderedDict[str, Statement] = OrderedDict()
        self.cache_misses = 0

    def read(self, text: bytes) -> Statement:
        """Classify a text of one or more statements."""
        hint, body = _split_hint(text)
        if len(body) > _MAX_SHAPED_BYTES:
            return replace(_classify_long(body), shape=_shape(head_of(body))[:_SHAPE_CHARACTERS], hint=hint)
        shape = body.decode("latin-1")
        if not _AMBIGUOUS.search(body) and _WITHOUT_QUOTES.fullmatch(body) and not _SET_OR_USE.match(body):
            # The classification depends on no literal's value, nor on the length of a long list.
            shape = _shape(body)
        cached = self._cache.get(shape)
        if cached is not None:
            self._cache.move_to_end(shape)
        else:
            self.cache_misses += 1
            cached = replace(classify(shape.encode("latin-1")), shape=shape[:_SHAPE_CHARACTERS])
            if len(shape) <= _MAX_PARSED_BYTES:
                self._cache[shape] = cached
                if len(self._cache) > self._max_shapes:
                    self._cache.popitem(last=False)
        return replace(cached, hint=hint) if hint else cached


def _shape(text: bytes) -> str:
    """A text with a placeholder for each literal, and long lists cut to one length."""
    return _ROWS.sub(r"\1", _LIST.sub(_EIGHT_PLACEHOLDERS, _LITERAL.sub("?", text.decode("latin-1"))))


def _split_hint(text: bytes) -> tuple[tuple[tuple[str, str], ...], bytes]:
    found = _HINT.match(text, 0, _MAX_SHAPED_BYTES)
    if found is None:
        return (), text
    pairs = (each.partition("=") for each in found[1].decode("latin-1").split(","))
    hint = tuple((name.strip(), value.strip()) for name, _, value in pairs if name.strip())
    return hint, text[found.end() :]


def classify(text: bytes) -> Statement:
    """Classify a text of one or more statements, without its hint."""
    while (comment := LEADING_COMMENT.match(text)) is not None:
        text = text[comment.end() :]
    if len(text) > _MAX_PARSED_BYTES:
        return _classify_long(text)
    is_ambiguous = _AMBIGUOUS.search(text) is not None
    if b"/*!" in text or b"/*M!" in text:
        return replace(_NOT_UNDERSTOOD, count=2 if b";" in text else 1)  # what runs depends on the server
    try:
        tokens = list(_DIALECT.tokenize(text.decode("latin-1")))
    except SqlglotError:
        return replace(_NOT_UNDERSTOOD, count=2 if b";" in text.rstrip(b"; \t\r\n") else 1)
    parts = _split_statements(tokens)
    if not parts:
        return Statement(Kind.OPAQUE)
    read = [_classify_statement(part, is_ambiguous) for part in parts]
    if any(each.token_type is TokenType.COMMAND for each in tokens) and b";" in text.rstrip(b"; \t\r\n"):
        # sqlglot's command token swallows all the text that follows it.
        return replace(read[0], kind=Kind.OPAQUE, count=2, pins=read[0].pins | {Pin.NOT_UNDERSTOOD})
    if is_ambiguous and b";" in text.rstrip(b"; \t\r\n"):
        return replace(_combine(read), kind=Kind.OPAQUE, count=max(len(read), 2))
    return read[0] if len(read) == 1 else _combine(read)


def _classify_long(text: bytes) -> Statement:
    """Classify by the first word, which is enough for a large INSERT, the usual long text."""
    first, *rest = first_words(text) or [""]
    count = 2 if has_further_statement(text) else 1
    is_change = first in ("insert", "replace", "update", "delete", "select") and count == 1
    if is_change and b"@" not in text:
        used = words_in(text, _LOCK_FUNCTIONS | _DIAGNOSTICS | _INSERT_ID_WORDS)
        needs_insert_id = bool(used) and used <= _INSERT_ID_WORDS
        if not used or (needs_insert_id and not _SETS_INSERT_ID.search(text)):
            # Without `pure_calls`: calls were not checked.
            return Statement(Kind.WRITE, needs_insert_id=needs_insert_id)
    return replace(_NOT_UNDERSTOOD, count=count, refusal=_classify_command(first, " ".join(rest)).refusal)


def _split_statements(tokens: Sequence[Token]) -> list[list[Token]]:
    parts: list[list[Token]] = [[]]
    for each in tokens:
        if each.token_type is TokenType.SEMICOLON:
            parts.append([])
        else:
            parts[-1].append(each)
    return [part for part in parts if part]


def _combine(read: Sequence[Statement]) -> Statement:
    """Combine several statements of one text; the strictest classification wins."""
    kinds = {each.kind for each in read}
    return Statement(
        kind=Kind.READ if kinds == {Kind.READ} else Kind.OPAQUE,
        pure_calls=kinds == {Kind.READ},
        pins=frozenset().union(*(each.pins for each in read))
        | ({Pin.VARIABLE} if kinds & {Kind.SET, Kind.USE} else set()),
        count=len(read),
        refusal=next((each.refusal for each in read if each.refusal), None),
        needs_insert_id=any(each.needs_insert_id for each in read),
        needs_diagnostics=any(each.needs_diagnostics for each in read),
        makes_diagnostics=any(each.makes_diagnostics for each in read),
    )


# ---------------------------------------------------------------------------------------------------
# One statement


def _words(tokens: Sequence[Token]) -> list[str]:
    """Names and keywords in lower case; `''` in place of anything quoted."""
    quoted = (TokenType.STRING, TokenType.NATIONAL_STRING, TokenType.IDENTIFIER)
    return ["''" if each.token_type in quoted else each.text.lower() for each in tokens]


def _classify_statement(tokens: Sequence[Token], is_ambiguous: bool) -> Statement:
    words = _words(tokens)
    first = words[0] if words[0] != "(" else next((each for each in words if each != "("), "")
    second = words[1] if len(words) > 1 else ""
    if tokens[0].token_type is TokenType.COMMAND:
        rest = " ".join([*first.split()[1:], *(each.text.lower() for each in tokens[1:2])])
        return _classify_command(first.split()[0], rest)
    match first:
        case "select" | "with" | "values" | "table":
            return _classify_query(tokens, words, is_ambiguous)
        case "show" | "describe" | "desc" | "explain":
            return _classify_show(words, is_ambiguous)
        case "insert" | "replace" | "update" | "delete":
            return _with_effects(Statement(Kind.WRITE), tokens, words)
        case "begin":
            return Statement(Kind.BEGIN) if len(words) == 1 or words[1:] == ["work"] else _NOT_UNDERSTOOD
        case "start" if second == "transaction":
            return Statement(Kind.BEGIN)
        case "commit":
            return Statement(Kind.COMMIT if "release" not in words and "chain" not in words else Kind.OPAQUE)
        case "rollback":
            if words in (["rollback"], ["rollback", "work"]):
                return Statement(Kind.ROLLBACK)
            is_inside = "to" in words
            return Statement(Kind.SAVEPOINT if is_inside else Kind.OPAQUE)
        case "set":
            return classify_set(tokens, words, is_ambiguous)
        case "use" if len(tokens) == 2:
            return Statement(Kind.USE, schema=tokens[1].text.encode("latin-1"))
        case "create" | "drop" | "alter" | "truncate" | "rename":
            is_temporary = "temporary" in words
            pins = frozenset((Pin.TEMPORARY_TABLE,)) if is_temporary else frozenset[Pin]()
            return Statement(Kind.OPAQUE, pins)
        case "do":
            return _with_effects(Statement(Kind.OPAQUE), tokens, words)
    return _classify_command(first, " ".join(words[1:]))


def _classify_command(first: str, rest: str = "") -> Statement:
    """Classify what sqlglot's tokenizer leaves unparsed as a command."""
    match first:
        case "kill":
            return Statement(Kind.OPAQUE, refusal=Refusal.KILL)
        case "shutdown" | "restart":
            return Statement(Kind.OPAQUE, refusal=Refusal.SHUTDOWN)
        case "load":
            if re.search(r"\blocal\b", rest):
                return Statement(Kind.OPAQUE, refusal=Refusal.LOCAL_INFILE)
            return Statement(Kind.OPAQUE)
        case "savepoint":
            return Statement(Kind.SAVEPOINT)
        case "release" if rest.startswith("savepoint"):
            return Statement(Kind.SAVEPOINT)
        case "prepare" | "execute" | "deallocate":
            return Statement(Kind.OPAQUE, frozenset((Pin.SQL_PREPARE, Pin.NOT_UNDERSTOOD)))
        case "unlock":
            return Statement(Kind.OPAQUE, unlocks_tables=True)
        case "lock" | "flush" | "handler":
            return Statement(Kind.OPAQUE, frozenset((Pin.LOCK,)))
        case "optimize" | "analyze" | "check" | "repair" | "grant" | "revoke" | "rename" | "truncate":
            return Statement(Kind.OPAQUE)
        case "explain" | "show":
            return Statement(Kind.WRITE)
        case "change" | "purge" | "reset" | "stop" | "install" | "uninstall" | "clone":
            return Statement(Kind.OPAQUE, refusal=Refusal.REPLICATION)
    return _NOT_UNDERSTOOD


def _classify_query(tokens: Sequence[Token], words: Sequence[str], is_ambiguous: bool) -> Statement:
    if (value := _session_value(words)) is not None:
        needs_id = value == "last_insert_id"
        return Statement(Kind.READ, session_value=value, needs_insert_id=needs_id, pure_calls=True)
    writes = next((each for each in words if each in ("insert", "update", "delete", "replace")), None)
    base = _with_effects(Statement(Kind.WRITE), tokens, words)
    if words[0] == "with" and writes in ("update", "delete", "insert"):
        return base
    if {"outfile", "dumpfile"} & set(words):
        return replace(base, kind=Kind.OPAQUE)
    if base.pins or base.needs_diagnostics or base.makes_diagnostics or is_ambiguous:
        return base
    if not base.pure_calls or _writes_or_locks(words):
        return base
    return replace(base, kind=Kind.READ) if _parses_as_query(tokens) else base


def _session_value(words: Sequence[str]) -> str | None:
    """The value that it selects, if the session can answer without a server."""
    match list(words):
        case ["select", "last_insert_id", "(", ")"] | ["select", "@@", "identity" | "last_insert_id"]:
            return "last_insert_id"
        case ["select", "row_count", "(", ")"]:
            return "row_count"
    return None


def _classify_show(words: Sequence[str], is_ambiguous: bool) -> Statement:
    if words[0] == "show" and {"warnings", "errors"} & set(words[1:]):
        return Statement(Kind.WRITE, needs_diagnostics=True)
    is_read = not is_ambiguous and "analyze" not in words and "for" not in words
    return Statement(Kind.READ if is_read else Kind.WRITE, pure_calls=is_read)


def _with_effects(statement: Statement, tokens: Sequence[Token], words: Sequence[str]) -> Statement:
    """Add what a query or a change leaves in its session, and reads from it."""
    pins: set[Pin] = set()
    names = set(" ".join(words).split())
    for number, each in enumerate(tokens):
        if each.token_type is TokenType.COLON_EQ:
            pins.add(Pin.USER_VARIABLE)
        if each.token_type is TokenType.PARAMETER or each.text == "@":
            pins.add(Pin.USER_VARIABLE)
        calls = number + 1 < len(tokens) and tokens[number + 1].token_type is TokenType.L_PAREN
        if calls and words[number] in _LOCK_FUNCTIONS:
            pins.add(Pin.LOCK)
    insert_id = bool(names & _INSERT_ID_WORDS)
    if insert_id and re.search(r"last_insert_id \( (?!\))", " ".join(words)):
        pins.add(Pin.VARIABLE)  # LAST_INSERT_ID(expr) sets the variable
    return replace(
        statement,
        pins=frozenset(pins),
        pure_calls=not pins and _calls_are_pure(tokens, words),
        needs_insert_id=insert_id,
        needs_diagnostics=bool(names & _DIAGNOSTICS),
        makes_diagnostics="sql_calc_found_rows" in names,
    )


def _calls_are_pure(tokens: Sequence[Token], words: Sequence[str]) -> bool:
    for number, each in enumerate(tokens[1:], 1):
        if each.token_type is not TokenType.L_PAREN:
            continue
        before, name = tokens[number - 1], words[number - 1].rpartition(" ")[2]
        if before.token_type is TokenType.IDENTIFIER:
            # `name`( calls a stored function or lists the columns of an alias; neither is proved safe.
            return False
        if not (name[:1].isalpha() or name[:1] == "_"):
            continue
        is_qualified = number >= 2 and tokens[number - 2].token_type is TokenType.DOT
        if is_qualified or (name not in _PURE_FUNCTIONS and name not in _NOT_FUNCTIONS):
            return False
    return True


def _writes_or_locks(words: Sequence[str]) -> bool:
    words = " ".join(words).split()
    for number, each in enumerate(words):
        following = words[number + 1] if number + 1 < len(words) else ""
        if each == "for" and following in ("update", "share"):
            return True
        called = following == "("
        if each in _WRITE_WORDS and not (called and each in ("replace", "insert")):
            return True
    return False


def _parses_as_query(tokens: Sequence[Token]) -> bool:
    try:
        trees = _DIALECT.parser().parse(list(tokens), "")
    except (SqlglotError, RecursionError):
        return False
    if len(trees) != 1 or not isinstance(trees[0], exp.Query):
        return False
    refused = (exp.Lock, exp.Into, exp.Command, exp.DML, exp.DDL, exp.Parameter)
    return not any(isinstance(node, refused) and not isinstance(node, exp.Query) for node in trees[0].walk())
