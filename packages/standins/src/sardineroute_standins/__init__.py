"""Stand-ins for the systems around sardineroute; not shipped."""
