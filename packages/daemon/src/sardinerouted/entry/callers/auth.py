"""Authenticates the bearer tokens of teams and operators."""

import hmac
from collections.abc import Mapping

from sardineroute_core import errors
from sardineroute_core import ids
from sardineroute_core import settings
from sardinerouted.web import requests

_SCHEME = "bearer"


class Tokens:
    """The SHA-256 hashes of the tokens that the settings allow."""

    def __init__(self, options: settings.Entry) -> None:
        self._teams_by_hash = _names_by_hash(options.teams)
        self._operators_by_hash = _names_by_hash(options.operators)

    def authenticate_team(self, request: requests.Request) -> str:
        """Returns the name of the team that sent a request.

        Raises:
            errors.Error: The request has no token, an unknown one or an
                operator's.
        """
        presented_hash = _presented_hash(request)
        name = _find_name(self._teams_by_hash, presented_hash)
        if name is not None:
            return name
        if _find_name(self._operators_by_hash, presented_hash) is not None:
            raise errors.Error(
                errors.Kind.FORBIDDEN,
                "an operator's token can't run jobs; a team's is required",
            )
        raise _unknown_token_error()

    def authenticate_operator(self, request: requests.Request) -> str:
        """Returns the name of the operator that sent a request.

        Raises:
            errors.Error: The request has no token, an unknown one or a
                team's.
        """
        presented_hash = _presented_hash(request)
        name = _find_name(self._operators_by_hash, presented_hash)
        if name is not None:
            return name
        if _find_name(self._teams_by_hash, presented_hash) is not None:
            raise errors.Error(
                errors.Kind.FORBIDDEN,
                "a team's token can't administer; an operator's is required",
            )
        raise _unknown_token_error()


def _names_by_hash(tokens: list[settings.Token]) -> Mapping[str, str]:
    return {token.sha256: token.name for token in tokens}


def _presented_hash(request: requests.Request) -> str:
    header = request.header("Authorization")
    scheme, _, token = header.partition(" ")
    if scheme.lower() != _SCHEME or not token.strip():
        raise errors.Error(
            errors.Kind.UNAUTHORIZED,
            "the header 'Authorization: Bearer TOKEN' is required",
        )
    return ids.token_hash(token.strip())


def _find_name(
    names_by_hash: Mapping[str, str], presented_hash: str
) -> str | None:
    found = None
    for stored_hash, name in names_by_hash.items():
        if hmac.compare_digest(stored_hash, presented_hash):
            found = name
    return found


def _unknown_token_error() -> errors.Error:
    return errors.Error(errors.Kind.UNAUTHORIZED, "the bearer token is unknown")
