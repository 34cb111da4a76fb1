"""Deterministic simulation of whole sidecars: a virtual clock, an in-memory network, faults from a seed.

The daemon's own code runs unchanged; only `micadeck.network` is replaced.  The clock advances when no
callback is ready, so a run takes milliseconds, and a seed gives the same run in any process.
"""
