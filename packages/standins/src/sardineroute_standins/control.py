"""Runs the links of the fault proxy and controls them over HTTP."""

import asyncio
import dataclasses
import re
import threading
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from sardineroute_standins import proxy
from sardineroute_standins import web

THREADS = 16
LOOP_TIMEOUT_S = 10.0

_LINK_PATH = re.compile(r"^/links/([^/]+)(/faults)?$")
_ACTIONS = ("reset", "silence")
_T = TypeVar("_T")


class LinkController:
    """Runs links on an event loop in a background thread."""

    def __init__(self) -> None:
        self._links_by_name: dict[str, proxy.Link] = {}
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def add(self, name: str, route: proxy.Route) -> None:
        """Opens a link and returns when it listens."""
        self._run_on_loop(self._add_link(name, route))

    def stop(self) -> None:
        """Closes all links."""
        self._run_on_loop(self._close_links())

    def handle(self, request: web.Request) -> web.Reply:
        """Handles one HTTP request."""
        if (request.method, request.path) == ("GET", "/links"):
            return web.json_reply(self._run_on_loop(self._describe_links()))
        match = _LINK_PATH.match(request.path)
        if request.method != "PUT" or not match:
            return web.error_reply(404, "resource not found")
        name = match.group(1)
        if not match.group(2):
            self.add(name, _parse_route(request.fields()))
            return web.Reply()
        if name not in self._links_by_name:
            return web.error_reply(404, f"there is no link {name}")
        self._run_on_loop(
            self._apply_faults(self._links_by_name[name], request.fields())
        )
        return web.Reply()

    def _run_on_loop(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(LOOP_TIMEOUT_S)

    async def _add_link(self, name: str, route: proxy.Route) -> None:
        link = proxy.Link(route)
        await link.open()
        self._links_by_name[name] = link

    async def _close_links(self) -> None:
        for link in self._links_by_name.values():
            await link.close()

    async def _describe_links(self) -> dict[str, Any]:
        return {
            name: {
                "faults": dataclasses.asdict(link.faults),
                **dataclasses.asdict(link.counts()),
            }
            for name, link in self._links_by_name.items()
        }

    async def _apply_faults(
        self, link: proxy.Link, fields: dict[str, Any]
    ) -> None:
        actions = [name for name in _ACTIONS if fields.pop(name, False)]
        try:
            faults = dataclasses.replace(link.faults, **fields)
        except TypeError as error:
            raise web.BadRequest(str(error)) from error
        await link.set_faults(faults)
        if "reset" in actions:
            link.reset()
        if "silence" in actions:
            link.silence()


def _parse_route(fields: dict[str, Any]) -> proxy.Route:
    try:
        return proxy.Route(**fields)
    except TypeError as error:
        raise web.BadRequest(str(error)) from error


def serve(host: str, port: int) -> None:
    """Serves the HTTP interface of the fault proxy until SIGTERM or SIGINT."""
    controller = LinkController()
    web.serve(controller.handle, host, port, THREADS, controller.stop)
