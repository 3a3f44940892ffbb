"""The sardineroute command line."""
