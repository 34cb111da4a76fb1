"""The catalogue, the checks and the keys as one of Consul's servers has them.  No input or output.

Rows are replaced, never changed, and each table is indexed by what reads ask for: a change costs the same
among ten services and ten thousand.
"""

from __future__ import annotations

import base64
import hashlib
import json
from collections.abc import Iterable
from typing import Any

NODE = "agent-one"
HOST = "127.0.0.1"

Key = tuple[str, str]
Row = dict[str, Any]


class State:
    """What a server knows at one index.  Each change is one step of it, and touches what it concerns."""

    def __init__(self) -> None:
        self.index = 10
        self.nodes: dict[str, Row] = {}
        self.services: dict[Key, Row] = {}  # by node and id
        self.checks: dict[Key, Row] = {}  # by node and id
        self.keys: dict[str, Row] = {}
        self.changed: dict[str, int] = {}  # the index of the last change to a service's instances
        self.keys_changed = 1
        self._instances: dict[str, dict[Key, None]] = {}  # by name of the service
        self._on_node: dict[str, dict[str, None]] = {}  # ids of services
        self._checks_of: dict[Key, dict[str, None]] = {}  # by node and id of the service, empty: the node's
        self._worded: dict[tuple[str, Key], bytes] = {}  # entries of health and catalogue, as JSON

    def touch(self, *names: str) -> None:
        self.index += 1
        for name in names:
            self.changed[name] = self.index

    def service_index(self, name: str) -> int:
        """A service that never was waits on the index of all: no change of its own can come first."""
        return self.changed.get(name, self.index)

    def _touch_on(self, node: str, service_id: str = "") -> None:
        """What a node, or one service there, is part of has changed."""
        idents = [service_id] if service_id else list(self._on_node.get(node, ()))
        rows = [self.services[node, ident] for ident in idents if (node, ident) in self.services]
        for ident in idents:
            self._forget_words((node, ident))
        self.touch(*{row["Service"] for row in rows})

    def _forget_words(self, key: Key) -> None:
        for kind in ("health", "catalog"):
            self._worded.pop((kind, key), None)

    # Changes

    def put_node(self, name: str, address: str, ident: str = "", meta: dict[str, str] | None = None) -> None:
        before = self.nodes.get(name)
        digest = hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
        ident = ident or (before or {}).get("ID") or digest
        self.nodes[name] = {
            "ID": ident,
            "Node": name,
            "Address": address,
            "Datacenter": "dc1",
            "Meta": meta or {},
        }
        if before != self.nodes[name]:
            self._touch_on(name)

    def put_service(self, node: str, given: Row) -> None:
        name = given.get("Service") or given["Name"]
        key = node, given.get("ID") or name
        before = self.services.get(key)
        if before is not None and before["Service"] != name:
            self._instances[before["Service"]].pop(key, None)
            self.touch(before["Service"])
        self._instances.setdefault(name, {})[key] = None
        self._on_node.setdefault(node, {})[key[1]] = None
        self.touch(name)
        self.services[key] = {
            "ID": key[1],
            "Service": name,
            "Tags": given.get("Tags") or [],
            "Address": given.get("Address") or "",
            "TaggedAddresses": given.get("TaggedAddresses"),
            "Meta": given.get("Meta") or {},
            "Port": given.get("Port") or 0,
            "Weights": given.get("Weights") or {"Passing": 1, "Warning": 1},
            "ModifyIndex": self.index,
        }
        self._forget_words(key)

    def put_check(self, node: str, ident: str, status: str, service_id: str = "", output: str = "") -> None:
        self.checks[node, ident] = {
            "Node": node,
            "CheckID": ident,
            "Name": ident,
            "Status": status,
            "Output": output,
            "ServiceID": service_id,
            "ServiceName": self.services.get((node, service_id), {}).get("Service", ""),
        }
        self._checks_of.setdefault((node, service_id), {})[ident] = None
        self._touch_on(node, service_id)

    def drop_check(self, node: str, ident: str) -> None:
        gone = self.checks.pop((node, ident), None)
        if gone is not None:
            del self._checks_of[node, gone["ServiceID"]][ident]
            self._touch_on(node, gone["ServiceID"])

    def drop_service(self, node: str, ident: str) -> bool:
        gone = self.services.pop((node, ident), None)
        if gone is None:
            return False
        for check in self._checks_of.pop((node, ident), {}):
            del self.checks[node, check]
        del self._instances[gone["Service"]][node, ident]
        del self._on_node[node][ident]
        self._forget_words((node, ident))
        self.touch(gone["Service"])
        return True

    def drop_node(self, name: str) -> None:
        for ident in list(self._on_node.get(name, ())):
            self.drop_service(name, ident)
        for check in self._checks_of.pop((name, ""), {}):
            del self.checks[name, check]
        self.nodes.pop(name, None)
        self.touch()

    def put_key(self, key: str, value: bytes, flags: int = 0, cas: int | None = None) -> bool:
        """Set a key; with `cas`, only if it stands at that index (0: only if there is none)."""
        before = self.keys.get(key)
        if cas is not None and cas != (before["ModifyIndex"] if before else 0):
            return False
        self.touch()
        self.keys_changed = self.index
        self.keys[key] = {
            "LockIndex": 0,
            "Key": key,
            "Flags": flags,
            "Value": base64.b64encode(value).decode() if value else None,
            "CreateIndex": before["CreateIndex"] if before else self.index,
            "ModifyIndex": self.index,
        }
        return True

    def drop_keys(self, key: str, *, recurse: bool = False, cas: int | None = None) -> bool:
        gone = [each for each in self.keys if each == key or (recurse and each.startswith(key))]
        if cas is not None and cas and any(self.keys[each]["ModifyIndex"] != cas for each in gone):
            return False
        for each in gone:
            del self.keys[each]
        self.touch()
        self.keys_changed = self.index
        return True

    # Reads

    def instances(self, name: str, tags: Iterable[str] = ()) -> list[Key]:
        wanted = set(tags)
        return [key for key in self._instances.get(name, ()) if wanted <= set(self.services[key]["Tags"])]

    def checks_at(self, node: str, service_id: str) -> list[Row]:
        """A node's own checks and those of one of its services."""
        return [
            self.checks[node, ident]
            for of in ("", service_id)
            for ident in self._checks_of.get((node, of), ())
        ]

    def health(self, name: str, *, passing: bool = False, tags: Iterable[str] = ()) -> bytes:
        """The answer of /v1/health/service/:name."""
        keys = self.instances(name, tags)
        if passing:
            keys = [
                (node, ident)
                for node, ident in keys
                if all(each["Status"] == "passing" for each in self.checks_at(node, ident))
            ]
        return self._list("health", keys)

    def catalog(self, name: str, tags: Iterable[str] = ()) -> bytes:
        """The answer of /v1/catalog/service/:name."""
        return self._list("catalog", self.instances(name, tags))

    def _list(self, kind: str, keys: list[Key]) -> bytes:
        return b"[" + b",".join(self._words(kind, key) for key in keys) + b"]"

    def _words(self, kind: str, key: Key) -> bytes:
        worded = self._worded.get((kind, key))
        if worded is None:
            entry = self._health_entry(key) if kind == "health" else self._catalog_entry(key)
            worded = self._worded[kind, key] = json.dumps(entry).encode()
        return worded

    def _health_entry(self, key: Key) -> Row:
        node, ident = key
        return {
            "Node": self.nodes[node],
            "Service": self.services[key],
            "Checks": self.checks_at(node, ident),
        }

    def _catalog_entry(self, key: Key) -> Row:
        node, service = self.nodes[key[0]], self.services[key]
        return {
            "ID": node["ID"],
            "Node": node["Node"],
            "Address": node["Address"],
            "NodeMeta": node["Meta"],
            "ServiceID": service["ID"],
            "ServiceName": service["Service"],
            "ServiceTags": service["Tags"],
            "ServiceAddress": service["Address"],
            "ServiceTaggedAddresses": service["TaggedAddresses"],
            "ServiceMeta": service["Meta"],
            "ServicePort": service["Port"],
            "ServiceWeights": service["Weights"],
            "ModifyIndex": service["ModifyIndex"],
        }

    def names(self) -> dict[str, list[str]]:
        """Every service with the tags that its instances have."""
        return {
            name: sorted({tag for key in keys for tag in self.services[key]["Tags"]})
            for name, keys in self._instances.items()
            if keys
        }

    def on_node(self, name: str) -> dict[str, Row]:
        """A node's services by id."""
        return {ident: self.services[name, ident] for ident in self._on_node.get(name, ())}

    def checks_on(self, node: str) -> list[Row]:
        return [row for (on, _), row in self.checks.items() if on == node]

    def checks_of_service(self, name: str) -> list[Row]:
        return [
            self.checks[node, check]
            for node, ident in self._instances.get(name, ())
            for check in self._checks_of.get((node, ident), ())
        ]
