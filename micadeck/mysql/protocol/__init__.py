"""The MySQL client/server protocol without input or output: packets, the connection phase, answers.

Written from the public protocol text (MySQL Source Code Documentation, "Client/Server Protocol").
"""
