"""Which backend server gets a task, and the streams to the sidecars."""
