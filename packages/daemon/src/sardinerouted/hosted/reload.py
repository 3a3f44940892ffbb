"""Reads the settings file again while a process runs."""

import pathlib
from collections.abc import Callable

from sardineroute_core import logs
from sardineroute_core import settings
from sardinerouted import dialing

_log = logs.part("settings")


def reload(
    path: pathlib.Path,
    current: settings.HostedEntry | settings.HostedSidecar,
    learn: Callable[[list[dialing.Address]], None],
) -> None:
    """Puts in force what may change in a running process: log level, seeds.

    A file that can't be used changes nothing. Other changes are told and wait
    for a restart.
    """
    try:
        loaded = settings.load(path)
    except settings.SettingsError as error:
        _log.error("The settings can't be used.", why=str(error)[:300])
        return
    if type(loaded) is not type(current):
        _log.error("The settings are of another role.", role=loaded.role)
        return
    assert isinstance(loaded, settings.HostedEntry | settings.HostedSidecar)
    logs.configure(loaded.logging)
    learn(list(loaded.seed_addresses()))
    waiting = [
        name
        for name in type(current).model_fields
        if name not in ("seeds", "logging")
        and getattr(loaded, name) != getattr(current, name)
    ]
    _log.info("The settings were read again.", waiting_for_restart=waiting)
