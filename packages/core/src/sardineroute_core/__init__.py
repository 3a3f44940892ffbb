"""Code shared by the daemon, its adapters and the command line."""
