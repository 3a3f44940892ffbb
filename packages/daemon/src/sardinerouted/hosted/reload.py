"""Reloads the settings file of a running process."""

import pathlib
from collections.abc import Callable

from sardineroute_core import logs
from sardineroute_core import settings
from sardinerouted import dialing

_log = logs.get_logger("settings")


def reload(
    path: pathlib.Path,
    current: settings.HostedEntry | settings.HostedSidecar,
    on_addresses: Callable[[list[dialing.Address]], None],
) -> None:
    """Reloads the settings and applies changes of `logging` and `seeds`.

    Other changes are logged and need a restart. An invalid file changes
    nothing.

    Args:
        path: The settings file.
        current: The settings that the process was started with.
        on_addresses: Called with the addresses of the seeds.
    """
    try:
        loaded = settings.load(path)
    except settings.SettingsError as error:
        _log.error(
            "Settings reload failed; keeping the current settings.",
            why=str(error)[:300],
        )
        return
    if type(loaded) is not type(current):
        _log.error(
            "Settings reload ignored: the file is for another role.",
            role=loaded.role,
        )
        return
    assert isinstance(loaded, settings.HostedEntry | settings.HostedSidecar)
    logs.configure(loaded.logging)
    on_addresses(list(loaded.seed_addresses()))
    unapplied = [
        name
        for name in type(current).model_fields
        if name not in ("seeds", "logging")
        and getattr(loaded, name) != getattr(current, name)
    ]
    _log.info("Settings reloaded.", waiting_for_restart=unapplied)
