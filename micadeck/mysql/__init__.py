"""The MySQL service: carries statements through an engine.

`protocol` reads and writes packets; `statements`, `routes`, `session`, `error_mapping` and `pool` do no I/O;
`client_session`, `listener`, `server_connection` and `transport` do; `service` connects them.
"""
