"""A stand-in for Consul: catalogue, health, keys and blocking queries on one port, with fault injection.

Written from https://developer.hashicorp.com/consul/api-docs (agent, catalog, health, kv, status, blocking
queries, consistency).  `python -m micadeck.stand_ins.consul` prints its address and serves until EOF.
`PUT /_standin/fault` with `{"kind": ..., "times": N}` makes the next N reads fail; see `Fault`.
"""

from micadeck.stand_ins.consul.server import Fault, StandInConsul
from micadeck.stand_ins.consul.state import NODE, State

__all__ = ["NODE", "Fault", "StandInConsul", "State"]
