"""HTTP/1.1: the listener for clients, and the connection pool to servers.

Parsing and encoding (`h1`), validation (`request_validation`), answers (`error_responses`) and the choice
of idle connections to keep (`idle_connections`) do no I/O.
"""
