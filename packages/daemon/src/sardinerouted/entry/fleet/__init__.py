"""The other processes, and the configuration that all have in force."""
