"""Limits and timeouts of an HTTP server."""

import dataclasses

from sardineroute_core import settings

_INTERNAL_THREADS = 2
_INTERNAL_LISTEN_QUEUE = 64
_INTERNAL_MAX_CONNECTIONS = 64
_INTERNAL_MAX_BODY_BYTES = 1_024
# A heartbeat with labels takes well under 1 kB.
_MAX_HEARTBEAT_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Options:
    """Limits and timeouts of an HTTP server.

    Attributes:
        listen: Address to listen on.
        threads: Threads that read requests and write responses.
        listen_queue: Backlog of the listening socket.
        max_connections: Largest number of connections. When it is reached, a
            new connection closes the one that has sent nothing for longest.
        max_header_bytes: Largest size of the request line and headers.
        max_body_bytes: Largest size of a request's body.
        max_receiving_bytes: Largest size of all requests that are being
            received or judged.
        max_unsent_bytes: Largest size of all responses that callers have not
            taken yet.
        receive_buffer_bytes: Size of the kernel's buffer for the bytes that a
            connection has received and that are not read yet.
        request_timeout_ms: Time within which a whole request must arrive.
        response_timeout_ms: Time within which the caller must accept a
            whole response.
        idle_timeout_ms: Time after which an idle connection is closed.
        stop_grace_ms: Time for which a stopping server still accepts
            requests.
        stop_timeout_ms: Time that a stopping server gives requests in flight.
        tls: Certificate and key files; HTTP without TLS if None.
    """

    listen: settings.Address
    threads: int = 16
    listen_queue: int = 512
    max_connections: int = 1_024
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    max_receiving_bytes: int = 20_971_520
    max_unsent_bytes: int = 16_777_216
    receive_buffer_bytes: int = 32_768
    request_timeout_ms: int = 10_000
    response_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    stop_grace_ms: int = 100
    stop_timeout_ms: int = 5_000
    tls: settings.Tls | None = None


def for_entry(options: settings.Http) -> Options:
    """Returns the server options given in an entry's settings."""
    return Options(
        listen=options.listen,
        threads=options.threads,
        listen_queue=options.listen_queue,
        max_connections=options.max_connections,
        max_body_bytes=options.max_body_bytes,
        max_receiving_bytes=options.max_receiving_bytes,
        max_unsent_bytes=options.max_unsent_bytes,
        receive_buffer_bytes=options.receive_buffer_bytes,
        request_timeout_ms=options.request_timeout_ms,
        response_timeout_ms=options.response_timeout_ms,
        idle_timeout_ms=options.idle_timeout_ms,
        tls=options.tls,
    )


def for_internal_server(listen: settings.Address) -> Options:
    """Returns the options of a server that only the platform calls.

    That is a sidecar's server, and an entry's servers for readiness and
    metrics.
    """
    return Options(
        listen=listen,
        threads=_INTERNAL_THREADS,
        listen_queue=_INTERNAL_LISTEN_QUEUE,
        max_connections=_INTERNAL_MAX_CONNECTIONS,
        max_body_bytes=_INTERNAL_MAX_BODY_BYTES,
    )


def for_hosted_sidecar(listen: settings.Address) -> Options:
    """Returns the options of a sidecar that receives worker heartbeats."""
    return dataclasses.replace(
        for_internal_server(listen), max_body_bytes=_MAX_HEARTBEAT_BYTES
    )
