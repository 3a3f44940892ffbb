"""HTTPS with TLS handshakes on the threads that read requests."""

import socket
import ssl
from typing import Any

from cheroot.ssl import builtin

from sardineroute_core import settings


class Adapter(builtin.BuiltinSSLAdapter):  # type: ignore[misc]
    """Wraps accepted connections without waiting for their handshake.

    cheroot's own adapter does the handshake on the thread that accepts
    connections, where one silent caller blocks all others.
    """

    def __init__(self, tls: settings.Tls) -> None:
        super().__init__(str(tls.certificate), str(tls.key))

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, Any]:
        """Returns the connection wrapped in TLS, and WSGI environ entries."""
        wrapped = self.context.wrap_socket(
            sock, do_handshake_on_connect=False, server_side=True
        )
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}
