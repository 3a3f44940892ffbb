"""The WSGI application of an entry: job API, administration and health."""

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
    """Returns the WSGI application.

    Requests are handled in the server's threads; the parts that need the state
    of the entry run on `loop`.
    """
    executor = exchanges.LoopExecutor(loop)
    tokens = auth.Tokens(state.options)
    router = routes.Router(
        [
            *job_handlers.make_routes(state, executor, tokens),
            *admin_handlers.make_routes(state, executor, tokens),
            *health.make_routes(lambda: queries.is_ready(state)),
        ]
    )
    return app.build(router, state.options.http.max_body_bytes)
