"""Choice of the connection on which a request is sent to an upstream."""

from sedgetide.core.identifiers import RequestId
from sedgetide.daemons._hostmetrics import REPEAT_CONNECTIONS
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.daemons._upstreamchannels import UpstreamChannel
from sedgetide.wire.client import Connection

# Seconds; a handshake between data centres takes two milliseconds, and a lost
# handshake packet is retransmitted after 0.2 s.
_CONNECT_TIMEOUT = 0.4


def take_connection(
    context: RequestContext, channel: UpstreamChannel, now: float
) -> Connection:
    """Return a connection on which an answer can only be to this attempt.

    Connections that have carried an earlier attempt of the request are left
    in the pool; see :class:`~sedgetide.core.requests.sentids.SentIds`. An
    idempotent request may run again after the copy of a rejection, so it uses
    one of these before a new connection is opened.

    Parameters
    ----------
    context : RequestContext
        The request.
    channel : UpstreamChannel
        Channel to the upstream.
    now : float
        Current monotonic time in seconds.

    Raises
    ------
    UpstreamError
        With ``sent`` false, if no connection can be opened.
    """
    request = context.fields.request
    left_out = False

    def is_suitable(connection: Connection) -> bool:
        nonlocal left_out
        has_carried_it = request in connection.sent_ids
        left_out |= has_carried_it
        return not has_carried_it

    timeout = min(_CONNECT_TIMEOUT, context.times.final - now)
    source = "none"
    try:
        if context.route.idempotent:
            connection = channel.pool.take_idle(
                is_suitable
            ) or channel.pool.take(timeout)
        else:
            # After a reset it isn't sent again, so it avoids connections that
            # the upstream may have closed.
            max_idle = channel.idle_limit.find_max_idle(now)
            connection = channel.pool.take(timeout, max_idle, is_suitable)
        source = _describe_source(connection, request)
        return connection
    finally:
        if left_out:
            REPEAT_CONNECTIONS.labels(context.service, source).inc()


def _describe_source(connection: Connection, request: RequestId) -> str:
    if connection.is_new:
        return "new"
    return "same" if request in connection.sent_ids else "idle"
