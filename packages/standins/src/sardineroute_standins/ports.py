"""Reserves loopback ports for the lifetime of a fleet."""

import socket

LOOPBACK = "127.0.0.1"


class Ports:
    """Reserves free loopback ports until they are released.

    Each port is held by a socket that is bound but doesn't listen. Servers
    that set SO_REUSEADDR can listen on the port, also after a restart, while
    the kernel doesn't assign it to a program that binds to port 0.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Reserves a free port and returns it."""
        reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((LOOPBACK, 0))
        self._sockets.append(reserved)
        port: int = reserved.getsockname()[1]
        return port

    def release(self) -> None:
        """Releases all reserved ports."""
        for reserved in self._sockets:
            reserved.close()
        self._sockets.clear()
