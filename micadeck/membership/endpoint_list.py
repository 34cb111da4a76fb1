"""Reads discovery's endpoint lists from JSON.  No input or output."""

from __future__ import annotations

import json
from typing import Any

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.membership.errors import EndpointListError, FieldError
from micadeck.network import parse_address
from micadeck.policy.events import ListedServer, ServerState

MAX_JSON_VALUES = 160_000  # a list of 3,200 servers has 55,000 values
_MAX_NUMBER = 2**53  # exclusive; larger numbers are not exact in JSON
_STATES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.REMOVED}


def decode_endpoint_update(body: bytes) -> EndpointUpdate:
    """Read the body of a response.

    Raises:
        ValueError: The body is not JSON, too large or not an endpoint list.
        RecursionError: The JSON is nested too deeply.
    """
    _check_value_count(body)
    return parse_endpoint_update(json.loads(body))


def parse_endpoint_update(document: object) -> EndpointUpdate:
    """Read a decoded list.

    Raises:
        EndpointListError: A field is missing, unknown or of the wrong type.
        ValueError: An address cannot be parsed.
    """
    if not isinstance(document, dict):
        message = "an object is needed"
        raise EndpointListError(message)
    version, full, servers = document.get("version"), document.get("full"), document.get("servers")
    if type(version) is not int or version < 0:
        raise FieldError("version", "a non-negative integer", version)
    if not isinstance(full, bool):
        raise FieldError("full", "true or false", full)
    if not isinstance(servers, list):
        raise FieldError("servers", "a list", servers)
    return EndpointUpdate(version, full, tuple(_parse_server(server) for server in servers))


def _parse_server(server: object) -> EndpointEntry:
    if not isinstance(server, dict):
        message = "servers: each must be an object"
        raise EndpointListError(message)
    name = server.get("id")
    if not isinstance(name, str) or not name:
        raise FieldError("servers", "an id", name)
    try:
        state = _STATES[server["state"]]
    except (KeyError, TypeError):
        message = f"servers: unknown state {server.get('state')!r:.60} of {name:.60}"
        raise EndpointListError(message) from None
    address = None if state is ServerState.REMOVED else parse_address(server.get("addr"))
    started_ms = _number(server, "started_ms", 0)
    listed = ListedServer(
        server=name,
        zone=_text(server, "zone"),
        kind=_text(server, "kind"),
        cell=int(_number(server, "cell", 0)),
        state=state,
        nominal=_number(server, "weight", 1.0),
        started_at=int(started_ms * 1_000) or None,
    )
    return EndpointEntry(listed, address)


def _check_value_count(body: bytes) -> None:
    """Reject a list that would cost far more memory than its bytes.

    A value takes up to 100 bytes as an object, and may take only three bytes of JSON.
    """
    values = sum(body.count(delimiter) for delimiter in (b",", b":", b"{", b"["))
    if values > MAX_JSON_VALUES:
        message = f"servers: {values} values are more than the limit of {MAX_JSON_VALUES}"
        raise EndpointListError(message)


def _text(server: dict[str, Any], key: str) -> str:
    value = server.get(key)
    if value is None:
        return ""
    if not isinstance(value, str):
        raise FieldError("servers", "a string", value, key)
    return value


def _number(server: dict[str, Any], key: str, default: float) -> float:
    value = server.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < _MAX_NUMBER:
        raise FieldError("servers", "a number", value, key)
    return value
