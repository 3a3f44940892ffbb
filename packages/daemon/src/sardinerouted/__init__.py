"""The daemon of sardineroute."""
