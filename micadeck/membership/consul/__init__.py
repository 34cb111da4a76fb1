"""Endpoints from Consul's catalogue and health API.

`protocol`, `query`, `entries`, `states` and `view` do no input or output; `client` calls the agents and
`source` watches a service.  The API is described at https://developer.hashicorp.com/consul/api-docs.
"""

from micadeck.membership.consul.client import Agents, ConsulClient
from micadeck.membership.consul.entries import Check, Instance, parse_catalog, parse_health
from micadeck.membership.consul.protocol import ConsulError, RequestOptions, ResponseMeta
from micadeck.membership.consul.query import BlockingQuery, IndexChange, NextPoll
from micadeck.membership.consul.source import ServiceUpdate, ServiceWatch, WatchCallbacks, WatchTarget
from micadeck.membership.consul.states import InstanceMapping, InstanceStatus, RestartTracker
from micadeck.membership.consul.view import EntriesChange, ServiceView

__all__ = [
    "Agents",
    "BlockingQuery",
    "Check",
    "ConsulClient",
    "ConsulError",
    "EntriesChange",
    "IndexChange",
    "Instance",
    "InstanceMapping",
    "InstanceStatus",
    "NextPoll",
    "RequestOptions",
    "ResponseMeta",
    "RestartTracker",
    "ServiceUpdate",
    "ServiceView",
    "ServiceWatch",
    "WatchCallbacks",
    "WatchTarget",
    "parse_catalog",
    "parse_health",
]
