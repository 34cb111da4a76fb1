"""Endpoint discovery: sources that deliver the list of servers to the engine."""
