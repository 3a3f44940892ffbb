"""HTTP for both roles: requests, responses, routes and the server."""
