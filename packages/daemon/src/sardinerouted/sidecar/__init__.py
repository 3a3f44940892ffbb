"""The sidecar: guards and runs tasks beside one backend server."""
