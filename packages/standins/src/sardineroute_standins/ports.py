"""Reserves loopback ports for as long as a fleet lives."""

import socket

LOOPBACK = "127.0.0.1"


class Ports:
    """Hands out free ports that no other program is given meanwhile.

    Each port is held by a socket that is bound but doesn't listen. Servers
    that set SO_REUSEADDR can listen on it, before and after restarts; the
    kernel gives it to nobody who asks for any free port.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Returns a free port."""
        holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((LOOPBACK, 0))
        self._sockets.append(holder)
        port: int = holder.getsockname()[1]
        return port

    def release(self) -> None:
        """Gives all ports back."""
        for holder in self._sockets:
            holder.close()
        self._sockets.clear()
