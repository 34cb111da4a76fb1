"""The MySQL client/server protocol without I/O: packets, the connection phase, responses.

It follows the MySQL Source Code Documentation, "Client/Server Protocol".
"""
