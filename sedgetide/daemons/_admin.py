"""Admin port: health, readiness, state dump and metrics."""

import abc
import contextlib
from typing import Any

import falcon
from gevent.pywsgi import WSGIServer
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from prometheus_client import REGISTRY

from sedgetide.coding.addresses import split_address
from sedgetide.runtime.sockets import open_listener


class Inspectable(abc.ABC):
    """A process that can tell about itself."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Tell whether the process should get new work."""

    @abc.abstractmethod
    def dump_state(self) -> dict[str, Any]:
        """Return the state as built-in types that JSON can hold."""


class _Health:
    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.text = "alive\n"


class _Readiness:
    def __init__(self, process: Inspectable) -> None:
        self._process = process

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        ready = self._process.is_ready()
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        response.text = "ready\n" if ready else "not ready\n"


class _State:
    def __init__(self, process: Inspectable) -> None:
        self._process = process

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.content_type = falcon.MEDIA_JSON
        response.data = msgspec.json.encode(self._process.dump_state())


class _Metrics:
    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.content_type = CONTENT_TYPE_LATEST
        response.data = generate_latest(REGISTRY)


def make_application(process: Inspectable, readiness_path: str) -> falcon.App:
    """Return the admin application.

    Parameters
    ----------
    process : Inspectable
        What is shown.
    readiness_path : str
        Where readiness is asked for.
    """
    application = falcon.App()
    application.add_route("/healthz", _Health())
    application.add_route(readiness_path, _Readiness(process))
    application.add_route("/state", _State(process))
    application.add_route("/metrics", _Metrics())
    return application


def start_admin(
    address: str, process: Inspectable, stack: contextlib.ExitStack
) -> None:
    """Serve the admin port until the stack is closed.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    process : Inspectable
        What is shown.
    stack : contextlib.ExitStack
        Owns the server.
    """
    application = make_application(process, "/readyz")
    listener = open_listener(*split_address(address))
    server = WSGIServer(listener, application, log=None, error_log=None)
    server.start()
    stack.callback(server.stop, timeout=0.1)
