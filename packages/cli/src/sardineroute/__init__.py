"""The command line of sardineroute."""
