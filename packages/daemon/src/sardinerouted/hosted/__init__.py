"""The processes of the daemon on a platform that hosts it."""
