"""Micadeck: the sidecar that puts magpiemux's decisions on real sockets."""
