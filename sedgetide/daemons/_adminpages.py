"""Pages of the admin port for operators and monitoring."""

import falcon
import msgspec
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest
from prometheus_client import REGISTRY

from sedgetide.core.identifiers import Fingerprint
from sedgetide.daemons._inspection import Inspectable


class _Health:
    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.text = "alive\n"


class _State:
    def __init__(self, process: Inspectable) -> None:
        self._process = process

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.content_type = falcon.MEDIA_JSON
        response.data = msgspec.json.encode(self._process.dump_state())


class _Lift:
    """Lifts the quarantine of a request on all hosts."""

    def __init__(self, process: Inspectable) -> None:
        self._process = process

    def on_post(
        self,
        _: falcon.Request,
        response: falcon.Response,
        fingerprint: str,
    ) -> None:
        if not self._process.lift_quarantine(Fingerprint(fingerprint)):
            raise falcon.HTTPNotFound(
                title=f"{fingerprint!r}: accepted is a fingerprint in the "
                "quarantine of the state dump"
            )
        response.text = "lifted\n"


class _Metrics:
    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.content_type = CONTENT_TYPE_LATEST
        response.data = generate_latest(REGISTRY)


def make_pages(process: Inspectable) -> falcon.App:
    """Return the application with the admin pages of a process."""
    application = falcon.App()
    application.add_route("/healthz", _Health())
    application.add_route("/state", _State(process))
    application.add_route("/metrics", _Metrics())
    application.add_route("/quarantine/{fingerprint}/lift", _Lift(process))
    return application
