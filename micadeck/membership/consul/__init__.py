"""Consul's catalogue and health API, as far as membership needs it.

What is asked and how answers are read (`protocol`, `query`, `entries`) and what an instance's checks mean
for the balancer (`states`) do no input or output; `client` asks agents in turn.  The API is described at
https://developer.hashicorp.com/consul/api-docs.
"""

from micadeck.membership.consul.client import Agents, ConsulClient
from micadeck.membership.consul.entries import Check, Instance, parse_catalog, parse_health
from micadeck.membership.consul.protocol import Ask, ConsulError, Meta
from micadeck.membership.consul.query import BlockingQuery, Verdict
from micadeck.membership.consul.source import Heard, ServiceWatch, watch
from micadeck.membership.consul.states import Names, Word, words
from micadeck.membership.consul.view import News, ServiceView

__all__ = [
    "Agents",
    "Ask",
    "BlockingQuery",
    "Check",
    "ConsulClient",
    "ConsulError",
    "Heard",
    "Instance",
    "Meta",
    "Names",
    "News",
    "ServiceView",
    "ServiceWatch",
    "Verdict",
    "Word",
    "parse_catalog",
    "parse_health",
    "watch",
    "words",
]
