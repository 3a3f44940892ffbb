"""The HTTP interface of an entry, to callers, operators and the platform."""

import asyncio

from sardinerouted.entry import state as entry_state
from sardinerouted.entry.administration import admin_handlers
from sardinerouted.entry.callers import auth
from sardinerouted.entry.callers import job_handlers
from sardinerouted.entry.callers import queries
from sardinerouted.web import app
from sardinerouted.web import exchanges
from sardinerouted.web import health
from sardinerouted.web import routes


def build(
    state: entry_state.EntryState, loop: asyncio.AbstractEventLoop
) -> app.WsgiApp:
    """Returns the application; its threads hand work to `loop`."""
    handover = exchanges.Handover(loop)
    tokens = auth.Tokens(state.options)
    table = routes.Table(
        [
            *job_handlers.table(state, handover, tokens),
            *admin_handlers.table(state, handover, tokens),
            *health.table(lambda: queries.is_ready(state)),
        ]
    )
    return app.build(table, state.options.http.max_body_bytes)
