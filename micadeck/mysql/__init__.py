"""MySQL on the wire: clients and servers carried on the engine, under its rules.

`protocol` reads and writes packets; `statements`, `routes`, `session`, `fates` and `pool` choose and do no
I/O; `link`, `carrier` and `front` are the sockets; `service` puts them together.
"""
