"""The entry: admits, queues and dispatches jobs."""
