"""Routing of requests by method and path to a service, route and key."""

from collections.abc import Sequence
from urllib.parse import unquote

import msgspec

from sedgetide.core.configuration.services import KEY_SEGMENT
from sedgetide.core.configuration.services import Route
from sedgetide.core.configuration.services import Service
from sedgetide.core.configuration.services import Text


class Match(msgspec.Struct, frozen=True):
    """Route that matches a request.

    Parameters
    ----------
    service : Service
        Service to which the path belongs.
    route : Route
        First route whose methods and path prefix match.
    key : str or None
        Decoded key; None for a service without keys.
    path : str
        Path below the prefix of the service, as sent to the upstream.
    """

    service: Service
    route: Route
    key: str | None
    path: str


def _split_path(path: str) -> list[str]:
    return path.split("/")[1:] if path else []


def _match_prefix(
    prefix: Sequence[str], segments: Sequence[str]
) -> tuple[bool, str | None]:
    if len(segments) < len(prefix):
        return False, None
    key = None
    for wanted, given in zip(prefix, segments, strict=False):
        if wanted == KEY_SEGMENT and given:
            key = unquote(given)
        elif wanted != given:
            return False, None
    return True, key


class Router:
    """Routes of one version of the configuration text.

    Parameters
    ----------
    text : Text
        Validated configuration text.
    """

    def __init__(self, text: Text) -> None:
        self._services = [
            (
                _split_path(service.prefix),
                service,
                [(_split_path(route.path), route) for route in service.routes],
            )
            for service in text.services
        ]
        # The longest prefix wins, regardless of the order in the text.
        self._services.sort(key=lambda each: len(each[0]), reverse=True)

    def match(self, method: str, path: str) -> Match | None:
        """Find the route of a request.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path as sent, still percent-encoded, without the query.

        Returns
        -------
        Match or None
            None when no service or no route matches.
        """
        segments = _split_path(path)
        for prefix, service, routes in self._services:
            if segments[: len(prefix)] != prefix:
                continue
            rest = segments[len(prefix) :]
            for route_prefix, route in routes:
                fits, key = _match_prefix(route_prefix, rest)
                if fits and method in route.methods:
                    return Match(service, route, key, "/" + "/".join(rest))
        return None
