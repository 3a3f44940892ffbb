"""The sidecar: runs tasks on one backend server, each at most once."""
