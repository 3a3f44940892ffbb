"""The HTTP server of both roles, with its requests, responses and routes."""
