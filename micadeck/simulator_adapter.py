"""Adapts balancers to the simulator's line protocol: translates names, makes no decisions.

Run as `python -m micadeck.simulator_adapter`.  Input that violates the protocol ends the process with one
line on standard error and exit code 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TextIO

from micadeck.policy.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from micadeck.policy.balancer import Balancer
from micadeck.policy.events import (
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    Event,
    ListedServer,
    ListKind,
    MessageReceived,
    ProbeEnded,
    RequestArrived,
    ServersListed,
    ServerState,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import Settings


class WireError(Exception):
    """A line violates the protocol; the text says what was expected."""


# Keys of settings: name in the protocol -> key of `Settings.from_mapping`.  Other keys are ignored.
_TOP_KEYS = {
    "lanes": "classes",
    "realms": "tenants",
    "zone": "zone",
    "me": "me",
    "groupSize": "group_size",
    "quantumUs": "tick_us",
    "discovery": "discovery",
    "weights": "weights",
    "worthBy": "worth_by",
    "overShareWorth": "over_share_worth",
    "report": "report",
    "bounds": "limits",
    "guarantees": "rules",
    "prices": "prices",
    "goal": "goal",
    "kinds": "kinds",
    "clientHabits": "client_habits",
    "domain": "domain",
}
_NESTED_KEYS = {
    "classes": {
        "name": "name",
        "giveUpUs": "deadline_us",
        "promiseUs": "aim_us",
        "worth": "worth",
        "lateValue": "late_worth",
        "repeat": "repeat",
        "group": "group",
        "memorySpanUs": "memory_us",
        "streaming": "streaming",
        "aimStretch": "aim_stretch",
    },
    "tenants": {"name": "name", "portion": "share", "quotaRps": "quota_per_s"},
    "report": {"columns": "columns", "source": "source"},
    "limits": {
        "sendCap": "max_attempts",
        "secondCopies": "second_copies",
        "mayCancel": "may_cancel",
        "probing": "may_probe",
        "mayTell": "may_message",
        "retryAfter": "retry_after",
        "maxRetryAfterUs": "max_retry_after_us",
        "dialTimeoutUs": "dial_timeout_us",
        "idleCloseUs": "idle_close_us",
        "streamsPerConn": "streams_per_connection",
        "maxOpen": "max_open",
        "cpuUsPerS": "cpu_us_per_s",
        "cpuUsPerRequest": "cpu_us_per_request",
    },
    "rules": {
        "answerSlackUs": "answer_slack_us",
        "askWithinUs": "ask_within_us",
        "drainGraceUs": "drain_grace_us",
        "coldFrom": "cold_from",
        "coldUs": "cold_us",
        "fallMultiple": "fall_multiple",
        "fallUs": "fall_us",
        "lateShedding": "full_may_have_run",
        "letGoInUs": "close_idle_within_us",
    },
    "prices": {
        "crossZone": "cross_zone",
        "probe": "probe",
        "peer": "message",
        "waste": "waste",
        "handshake": "handshake",
        "connection": "connection",
        "discovery": "discovery",
        "lateFail": "late_fail",
    },
    "goal": {
        "whole": "whole",
        "worstWindow": "worst_window",
        "worstClass": "worst_class",
        "worstTenant": "worst_tenant",
        "tail": "tail",
        "tailSlack": "tail_slack",
    },
    "client_habits": {"marksRetry": "mark_retries"},
    "domain": {"warmKeys": "warm_keys"},
}
# Values of settings: name in the protocol -> value of `Settings.from_mapping`.
_VALUE_NAMES = {
    "repeat": {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "unsafe"},
    "source": {"piggyback": "answers", "pull": "probes"},
}
_LIST_KINDS = {
    "delta": ListKind.CHANGES,
    "full": ListKind.COMPLETE,
    "cached": ListKind.REMEMBERED,
    "failed": ListKind.FAILED,
}
_STATES = {state.value: state for state in ServerState}
_OUTCOMES = {
    "delivered": Outcome.DELIVERED,
    "app_error": Outcome.ERROR,
    "shed": Outcome.FULL,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.CONNECTION_LOST,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.NOT_SENT,
}
_HINT_VALID, _CLIENT_RETRY, _WRITE = 1, 2, 4
_ALL_PEERS = -1


def settings_from_wire(given: object) -> Settings:
    """Translate the settings object of the protocol.

    Raises:
        ValueError: A setting is invalid; the message names its key.
    """
    if not isinstance(given, Mapping):
        raise ValueError("settings: an object is needed")  # noqa: TRY004  # all invalid settings raise ValueError
    named = _renamed(given, _TOP_KEYS)
    for key, names in _NESTED_KEYS.items():
        part = named.get(key)
        if isinstance(part, list):
            named[key] = [_renamed(item, names) if isinstance(item, Mapping) else item for item in part]
        elif isinstance(part, Mapping):
            named[key] = _renamed(part, names)
    return Settings.from_mapping(named)


def _renamed(given: Mapping[str, Any], names: Mapping[str, str]) -> dict[str, Any]:
    renamed: dict[str, Any] = {}
    for wire_name, name in names.items():
        if wire_name in given:
            value = given[wire_name]
            if isinstance(value, str):
                value = _VALUE_NAMES.get(name, {}).get(value, value)
            renamed[name] = value
    return renamed


# ---------------------------------------------------------------------------------------------------
# Fields of a message


def _integer(value: object) -> int:
    if type(value) is not int:
        raise WireError(f"an integer is needed, not {value!r:.60}")
    return value


def _text(value: object) -> str:
    if type(value) is not str:
        raise WireError(f"a string is needed, not {value!r:.60}")
    return value


def _flag(value: object) -> bool:
    if type(value) is not bool:
        raise WireError(f"true or false is needed, not {value!r:.60}")
    return value


def _optional_integer(value: object) -> int | None:
    return None if value is None else _integer(value)


def _lookup(value: object, values: Mapping[str, Any]) -> Any:
    try:
        return values[value]  # type: ignore[index]
    except (KeyError, TypeError):
        raise WireError(f"unknown value {value!r:.60}") from None


def _report(value: object) -> Mapping[str, float] | None:
    if value is None:
        return None
    if not isinstance(value, dict):
        raise WireError("a load report must be an object")
    for number in value.values():
        if isinstance(number, bool) or not isinstance(number, (int, float)):
            raise WireError(f"the values of a load report must be numbers, not {number!r:.60}")
    return value


def _payload(value: object) -> bytes:
    try:
        return bytes.fromhex(_text(value))
    except ValueError:
        raise WireError("hex digits are needed") from None


def _listed_server(entry: object) -> ListedServer:
    if not isinstance(entry, list) or len(entry) < 6:
        raise WireError("an entry of a server list needs at least 6 values")
    nominal = entry[5]
    if isinstance(nominal, bool) or not isinstance(nominal, (int, float)):
        raise WireError("a nominal size must be a number")
    started = _optional_integer(entry[6]) if len(entry) > 6 else None
    return ListedServer(
        server=_text(entry[0]),
        zone=_text(entry[1]),
        kind=_text(entry[2]),
        cell=_integer(entry[3]),
        state=_lookup(entry[4], _STATES),
        nominal=float(nominal),
        started_at=started or None,
    )


def _request_arrived(message: list[Any]) -> Event:
    flags = _integer(message[8])
    return RequestArrived(
        request=_integer(message[2]),
        service_class=_text(message[3]),
        tenant=None if message[4] is None or message[4] == 0 else _text(message[4]),
        key=_optional_integer(message[5]),
        remaining_us=_integer(message[6]),
        cost_us=_optional_integer(message[7]) if flags & _HINT_VALID else None,
        client_retry=bool(flags & _CLIENT_RETRY),
        write=bool(flags & _WRITE),
    )


def _answer_started(message: list[Any]) -> Event:
    return AnswerStarted(_integer(message[2]), _integer(message[3]), _text(message[5]), _integer(message[4]))


def _attempt_ended(message: list[Any]) -> Event:
    return AttemptEnded(
        request=_integer(message[2]),
        attempt=_integer(message[3]),
        server=_text(message[4]),
        outcome=_lookup(message[5], _OUTCOMES),
        elapsed_us=_integer(message[6]),
        answered=_flag(message[7]),
        report=_report(message[8]) if len(message) > 8 else None,
    )


def _probe_ended(message: list[Any]) -> Event:
    report = _report(message[5]) if len(message) > 5 else None
    return ProbeEnded(_text(message[4]), _lookup(message[3], _OUTCOMES), _integer(message[2]), report)


# Name of an event's message -> minimum length of the message, name included, and its reader.
_EVENTS: dict[str, tuple[int, Callable[[list[Any]], Event]]] = {
    "WORK_ITEM": (9, _request_arrived),
    "FIRST": (6, _answer_started),
    "ATTEMPT_END": (8, _attempt_ended),
    "CLIENT_GONE": (3, lambda m: ClientDisconnected(_integer(m[2]))),
    "WAKE": (3, lambda m: TimerFired(_text(m[2]))),
    "SAMPLED": (5, _probe_ended),
    "MEMO": (4, lambda m: MessageReceived(_integer(m[2]), _payload(m[3]))),
}

# Type of an action -> name of its message, and its values after the instance's name.
_ACTIONS: dict[type[Any], tuple[str, Callable[[Any], list[Any]]]] = {
    Send: ("ASSIGN", lambda a: [a.request, a.server, a.until]),
    Refuse: ("NOT_NOW", lambda a: [a.request, a.retry_after_us]),
    Fail: ("SURRENDER", lambda a: [a.request]),
    Cancel: ("ABORT_ATTEMPT", lambda a: [a.request, a.attempt]),
    SetTimer: ("REMIND", lambda a: [a.in_us, a.token]),
    Probe: ("CHECK", lambda a: [a.server]),
    CloseIdle: ("SHUT_IDLE", lambda a: [a.server]),
    SendPeerMessage: ("POST", lambda a: [_ALL_PEERS if a.receiver is None else a.receiver, a.payload.hex()]),
    WatchEndpoints: ("FOLLOW", lambda a: [a.wanted]),
    FetchList: ("REFRESH", lambda _: []),
    Log: ("REMARK", lambda a: [a.text]),
}


def _write_action(instance: str, action: Action) -> str:
    name, values = _ACTIONS[type(action)]
    return json.dumps([name, instance, *values(action)], separators=(",", ":"))


# ---------------------------------------------------------------------------------------------------
# Batches


class Adapter:
    """Hosts independent balancers; handles batches of messages to them."""

    def __init__(self) -> None:
        """Start with no balancer."""
        self._balancers: dict[str, Balancer] = {}
        self._server_lists: dict[int, list[ListedServer]] = {}
        self._now = 0
        self._in_batch = False
        self._reply: list[str] = []

    def handle_line(self, text: str) -> list[str] | None:
        """Handle one line; return the lines of the reply at the end of a batch, else None.

        Raises:
            WireError: The line violates the protocol.
        """
        try:
            message = json.loads(text)
        except (ValueError, RecursionError):
            raise WireError("the line is not JSON") from None
        if not isinstance(message, list) or not message:
            raise WireError("a message must be an array that starts with its name")
        name = message[0]
        if name == "FRAME":
            if self._in_batch:
                raise WireError("FRAME inside a batch")
            self._require_values(message, 2)
            self._now, self._in_batch, self._reply = _integer(message[1]), True, []
            return None
        if not self._in_batch:
            raise WireError(f"{name!r:.60} outside a batch")
        if name == "COMMIT":
            self._in_batch = False
            return [*self._reply, '["DONE"]']
        self._handle_message(name, message)
        return None

    @staticmethod
    def _require_values(message: list[Any], minimum: int) -> None:
        if len(message) < minimum:
            raise WireError(f"{message[0]} needs {minimum - 1} values, got {len(message) - 1}")

    def _handle_message(self, name: object, message: list[Any]) -> None:
        if name == "PAGE":
            self._require_values(message, 3)
            if not isinstance(message[2], list):
                raise WireError("the entries of a PAGE must be an array")
            self._server_lists[_integer(message[1])] = [_listed_server(entry) for entry in message[2]]
            return
        if not isinstance(name, str) or name not in ("BEGIN", "EXIT", "TARGETS", *_EVENTS):
            raise WireError(f"unknown message {name!r:.60}")
        self._require_values(message, 2)
        instance = _text(message[1])
        if name == "BEGIN":
            self._require_values(message, 4)
            try:
                self._balancers[instance] = Balancer(settings_from_wire(message[3]), _integer(message[2]))
            except ValueError as error:
                raise WireError(f"settings: {error}") from None
            return
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise WireError(f"{name} for instance {instance!r:.60}, which has not begun")
        if name == "EXIT":
            del self._balancers[instance]
        elif name == "TARGETS":
            self._require_values(message, 5)
            self._handle_event(instance, balancer, self._servers_listed(message))
        else:
            minimum, read = _EVENTS[name]
            self._require_values(message, minimum)
            self._handle_event(instance, balancer, read(message))

    def _servers_listed(self, message: list[Any]) -> ServersListed:
        kind = _lookup(message[2], _LIST_KINDS)
        if kind is ListKind.FAILED:
            return ServersListed(kind)
        page = self._server_lists.get(_integer(message[3]))
        if page is None:
            raise WireError(f"TARGETS refers to PAGE {message[3]}, which was not given")
        return ServersListed(kind, page, _integer(message[4]))

    def _handle_event(self, instance: str, balancer: Balancer, event: Event) -> None:
        try:
            actions = balancer.handle(self._now, event)
        except Exception as error:  # the protocol has a message for internal errors of a balancer
            self._reply.append(
                json.dumps(["INTERNAL_ERROR", instance, f"{type(error).__name__}: {error}"[:500]])
            )
            return
        for action in actions:
            self._reply.append(_write_action(instance, action))


def run(lines: Iterable[str], out: TextIO, err: TextIO) -> int:
    """Handle all lines; return the exit code."""
    adapter = Adapter()
    for number, text in enumerate(lines, 1):
        try:
            reply = adapter.handle_line(text)
        except WireError as error:
            err.write(f"line {number}: {error}\n")
            return 2
        if reply is not None:
            out.write("\n".join(reply) + "\n")
            out.flush()
    return 0


def main() -> int:
    """Serve the protocol on standard input and output; return the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return run(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
