"""The sardineroute daemon, which runs as an entry or as a sidecar."""
