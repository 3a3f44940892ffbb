"""Issues certificates for processes on the loopback interface."""

import pathlib

import trustme

from sardineroute_core import settings

_LOOPBACK = "127.0.0.1"


def issue(
    authority: trustme.CA, folder: pathlib.Path, name: str
) -> settings.Tls:
    """Returns a certificate for loopback, its key and its authority."""
    issued = authority.issue_cert(_LOOPBACK)
    certificate = folder / f"{name}.pem"
    key = folder / f"{name}.key"
    trusted = folder / f"{name}-authority.pem"
    issued.private_key_pem.write_to_path(str(key))
    for part in issued.cert_chain_pems:
        part.write_to_path(str(certificate), append=True)
    authority.cert_pem.write_to_path(str(trusted))
    return settings.Tls(certificate=certificate, key=key, authority=trusted)
