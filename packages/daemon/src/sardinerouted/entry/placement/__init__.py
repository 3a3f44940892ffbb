"""Chooses a backend server for each task and talks to the sidecars."""
