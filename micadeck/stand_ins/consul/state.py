"""The catalogue, checks and keys of a Consul server.  No I/O.

Rows are replaced, never changed, and tables are indexed by what reads look up, so that a change's cost does
not depend on the number of services.
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
    """A server's state at one index.  Each change increments the index and marks what it affects."""

    def __init__(self) -> None:
        self.index = 10
        self.nodes: dict[str, Row] = {}
        self.services: dict[Key, Row] = {}  # by node and id
        self.checks: dict[Key, Row] = {}  # by node and id
        self.keys: dict[str, Row] = {}
        self.service_indexes: dict[str, int] = {}  # of the last change to a service's instances
        self.keys_index = 1
        self._instances: dict[str, dict[Key, None]] = {}  # by service name
        self._service_ids: dict[str, dict[str, None]] = {}  # by node
        self._check_ids: dict[Key, dict[str, None]] = {}  # by node and service id; empty id: the node's
        self._encoded: dict[tuple[str, Key], bytes] = {}  # entries of health and catalogue, as JSON

    def touch(self, *names: str) -> None:
        self.index += 1
        for name in names:
            self.service_indexes[name] = self.index

    def service_index(self, name: str) -> int:
        """The index to watch for a service; the global one if it never had instances."""
        return self.service_indexes.get(name, self.index)

    def _touch_services(self, node: str, service_id: str = "") -> None:
        """Mark the services of a node, or one of them, as changed."""
        idents = [service_id] if service_id else list(self._service_ids.get(node, ()))
        rows = [self.services[node, ident] for ident in idents if (node, ident) in self.services]
        for ident in idents:
            self._drop_encoded((node, ident))
        self.touch(*{row["Service"] for row in rows})

    def _drop_encoded(self, key: Key) -> None:
        for kind in ("health", "catalog"):
            self._encoded.pop((kind, key), None)

    # Changes

    def put_node(self, name: str, address: str, ident: str = "", meta: dict[str, str] | None = None) -> None:
        old = self.nodes.get(name)
        digest = hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
        ident = ident or (old or {}).get("ID") or digest
        self.nodes[name] = {
            "ID": ident,
            "Node": name,
            "Address": address,
            "Datacenter": "dc1",
            "Meta": meta or {},
        }
        if old != self.nodes[name]:
            self._touch_services(name)

    def put_service(self, node: str, given: Row) -> None:
        name = given.get("Service") or given["Name"]
        key = node, given.get("ID") or name
        old = self.services.get(key)
        if old is not None and old["Service"] != name:
            self._instances[old["Service"]].pop(key, None)
            self.touch(old["Service"])
        self._instances.setdefault(name, {})[key] = None
        self._service_ids.setdefault(node, {})[key[1]] = None
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
        self._drop_encoded(key)

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
        self._check_ids.setdefault((node, service_id), {})[ident] = None
        self._touch_services(node, service_id)

    def drop_check(self, node: str, ident: str) -> None:
        removed = self.checks.pop((node, ident), None)
        if removed is not None:
            del self._check_ids[node, removed["ServiceID"]][ident]
            self._touch_services(node, removed["ServiceID"])

    def drop_service(self, node: str, ident: str) -> bool:
        removed = self.services.pop((node, ident), None)
        if removed is None:
            return False
        for check in self._check_ids.pop((node, ident), {}):
            del self.checks[node, check]
        del self._instances[removed["Service"]][node, ident]
        del self._service_ids[node][ident]
        self._drop_encoded((node, ident))
        self.touch(removed["Service"])
        return True

    def drop_node(self, name: str) -> None:
        for ident in list(self._service_ids.get(name, ())):
            self.drop_service(name, ident)
        for check in self._check_ids.pop((name, ""), {}):
            del self.checks[name, check]
        self.nodes.pop(name, None)
        self.touch()

    def put_key(self, key: str, value: bytes, flags: int = 0, cas: int | None = None) -> bool:
        """Set a key; with `cas`, only if its index is that (0: only if it does not exist)."""
        old = self.keys.get(key)
        if cas is not None and cas != (old["ModifyIndex"] if old else 0):
            return False
        self.touch()
        self.keys_index = self.index
        self.keys[key] = {
            "LockIndex": 0,
            "Key": key,
            "Flags": flags,
            "Value": base64.b64encode(value).decode() if value else None,
            "CreateIndex": old["CreateIndex"] if old else self.index,
            "ModifyIndex": self.index,
        }
        return True

    def drop_keys(self, key: str, *, recurse: bool = False, cas: int | None = None) -> bool:
        removed = [name for name in self.keys if name == key or (recurse and name.startswith(key))]
        if cas is not None and cas and any(self.keys[name]["ModifyIndex"] != cas for name in removed):
            return False
        for name in removed:
            del self.keys[name]
        self.touch()
        self.keys_index = self.index
        return True

    # Reads

    def instances(self, name: str, tags: Iterable[str] = ()) -> list[Key]:
        wanted = set(tags)
        return [key for key in self._instances.get(name, ()) if wanted <= set(self.services[key]["Tags"])]

    def instance_checks(self, node: str, service_id: str) -> list[Row]:
        """The checks of a node and one of its services."""
        return [
            self.checks[node, ident]
            for owner in ("", service_id)
            for ident in self._check_ids.get((node, owner), ())
        ]

    def health(self, name: str, *, passing: bool = False, tags: Iterable[str] = ()) -> bytes:
        """The response to /v1/health/service/:name."""
        keys = self.instances(name, tags)
        if passing:
            keys = [
                (node, ident)
                for node, ident in keys
                if all(check["Status"] == "passing" for check in self.instance_checks(node, ident))
            ]
        return self._list("health", keys)

    def catalog(self, name: str, tags: Iterable[str] = ()) -> bytes:
        """The response to /v1/catalog/service/:name."""
        return self._list("catalog", self.instances(name, tags))

    def _list(self, kind: str, keys: list[Key]) -> bytes:
        return b"[" + b",".join(self._encode_entry(kind, key) for key in keys) + b"]"

    def _encode_entry(self, kind: str, key: Key) -> bytes:
        encoded = self._encoded.get((kind, key))
        if encoded is None:
            entry = self._health_entry(key) if kind == "health" else self._catalog_entry(key)
            encoded = self._encoded[kind, key] = json.dumps(entry).encode()
        return encoded

    def _health_entry(self, key: Key) -> Row:
        node, ident = key
        return {
            "Node": self.nodes[node],
            "Service": self.services[key],
            "Checks": self.instance_checks(node, ident),
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

    def service_tags(self) -> dict[str, list[str]]:
        """The tags of all instances, by service name."""
        return {
            name: sorted({tag for key in keys for tag in self.services[key]["Tags"]})
            for name, keys in self._instances.items()
            if keys
        }

    def node_services(self, name: str) -> dict[str, Row]:
        """A node's services by id."""
        return {ident: self.services[name, ident] for ident in self._service_ids.get(name, ())}

    def node_checks(self, node: str) -> list[Row]:
        return [row for (name, _), row in self.checks.items() if name == node]

    def service_checks(self, name: str) -> list[Row]:
        return [
            self.checks[node, check]
            for node, ident in self._instances.get(name, ())
            for check in self._check_ids.get((node, ident), ())
        ]
