"""Limits and timeouts of an HTTP server."""

import dataclasses

from sardineroute_core import settings

_SIDECAR_THREADS = 2
_SIDECAR_LISTEN_QUEUE = 64
_SIDECAR_CONNECTIONS = 64
_SIDECAR_BODY_BYTES = 1_024
# A heartbeat with labels takes well under a kilobyte.
_HEARTBEAT_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Options:
    """Limits and timeouts of an HTTP server.

    Attributes:
        listen: Where to listen.
        threads: Threads that read requests and write responses.
        listen_queue: Connections that the kernel holds before they are
            accepted.
        max_connections: Idle connections kept; the longest idle one makes
            room for a new one.
        max_header_bytes: Largest head of a request.
        max_body_bytes: Largest body of a request.
        request_timeout_ms: Time for a whole request to arrive.
        response_timeout_ms: Time for a whole response to be taken.
        idle_timeout_ms: Time that an idle connection is kept.
        stop_grace_ms: Time in which a stopping server takes last requests.
        stop_timeout_ms: Time for requests in flight when the server stops.
        tls: Certificate files, for HTTPS.
    """

    listen: settings.Address
    threads: int = 16
    listen_queue: int = 512
    max_connections: int = 1_024
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    request_timeout_ms: int = 10_000
    response_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    stop_grace_ms: int = 100
    stop_timeout_ms: int = 5_000
    tls: settings.Tls | None = None


def for_entry(options: settings.Http) -> Options:
    """Returns the options that an entry's settings ask for."""
    return Options(
        listen=options.listen,
        threads=options.threads,
        listen_queue=options.listen_queue,
        max_connections=options.max_connections,
        max_body_bytes=options.max_body_bytes,
        request_timeout_ms=options.request_timeout_ms,
        response_timeout_ms=options.response_timeout_ms,
        idle_timeout_ms=options.idle_timeout_ms,
        tls=options.tls,
    )


def for_sidecar(listen: settings.Address) -> Options:
    """Returns the options of a sidecar, which serves only the platform."""
    return Options(
        listen=listen,
        threads=_SIDECAR_THREADS,
        listen_queue=_SIDECAR_LISTEN_QUEUE,
        max_connections=_SIDECAR_CONNECTIONS,
        max_body_bytes=_SIDECAR_BODY_BYTES,
    )


def for_hosted_sidecar(listen: settings.Address) -> Options:
    """Returns the options of a sidecar that takes its worker's heartbeats."""
    return dataclasses.replace(
        for_sidecar(listen), max_body_bytes=_HEARTBEAT_BYTES
    )
