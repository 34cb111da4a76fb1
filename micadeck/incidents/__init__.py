"""Records sidecars' activity, and analyzes the records for incidents.

Sidecars load `observer` and `recording` only if they record; the rest runs where records are read.  Only
`writer` and `archive` use files or threads.
"""
