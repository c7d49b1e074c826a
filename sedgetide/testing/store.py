"""Simulated store process.

Usage: ``python -m sedgetide.testing.store [--port N]``. Faults are injected
by ``POST /fault {"fault": "down"}``; ``/calls`` returns the numbers of calls.
"""

import argparse
import base64
import collections
from collections.abc import Iterable
import sys
import time
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent.event import Event

from sedgetide.coding.values import MAX_VALUE_BYTES
from sedgetide.core.configuration.records import Record
from sedgetide.testing import serving
from sedgetide.testing.storemodel import StoreFault
from sedgetide.testing.storemodel import StoreModel

_FOREVER = 3600.0


def _encode_record(record: Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "revision": record.revision,
        "value": base64.b64encode(record.value).decode(),
    }


class StoreApplication:
    """WSGI application around a :class:`StoreModel`."""

    def __init__(self) -> None:
        self._model = StoreModel()
        self._fault = StoreFault.NONE
        self._delay = 0.0
        self._changed = Event()
        self._calls: collections.Counter[str] = collections.Counter()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: serving.StartResponse,
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/fault":
            return self._set_fault(environ, start_response)
        if path == "/calls":
            return serving.answer(start_response, 200, self._calls)
        method = environ["REQUEST_METHOD"]
        self._calls[f"{method} /{path.split('/')[2]}"] += 1
        if self._fault is StoreFault.DOWN:
            gevent.sleep(_FOREVER)
        if self._fault is StoreFault.SLOW:
            gevent.sleep(self._delay)
        status, document = self._handle(method, path, environ)
        if self._fault is StoreFault.LOST_REPLY and method != "GET":
            gevent.sleep(_FOREVER)
        return serving.answer(start_response, status, document)

    def _set_fault(
        self,
        environ: dict[str, Any],
        start_response: serving.StartResponse,
    ) -> Iterable[bytes]:
        document = serving.read_json(environ)
        self._fault = StoreFault(document["fault"])
        self._delay = document.get("delay", 0.0)
        return serving.answer(start_response, 200, {})

    def _handle(
        self, method: str, path: str, environ: dict[str, Any]
    ) -> tuple[int, Any]:
        _, _, collection, *rest = path.split("/", 3)
        name = rest[0] if rest else ""
        if collection == "watch":
            return self._watch(environ)
        if collection == "leases":
            return self._lease(name, environ)
        if collection == "values" and method == "PUT":
            return self._swap(name, environ)
        record = self._model.read(name)
        if record is None:
            return 404, {"revision": 0}
        if collection == "revisions":
            return 200, {"revision": record.revision}
        return 200, _encode_record(record)

    def _swap(self, key: str, environ: dict[str, Any]) -> tuple[int, Any]:
        document = serving.read_json(environ)
        value = base64.b64decode(document["value"])
        if len(value) > MAX_VALUE_BYTES:
            return 413, {"limit": MAX_VALUE_BYTES}
        result = self._model.swap(
            key, value, document["expected"], document.get("lease")
        )
        if result.swapped:
            self._changed.set()
            self._changed = Event()
        return 200 if result.swapped else 409, {"revision": result.revision}

    def _lease(self, name: str, environ: dict[str, Any]) -> tuple[int, Any]:
        now = time.monotonic()
        if name:
            renewed = self._model.renew_lease(int(name), now)
            return 200 if renewed else 404, {}
        ttl = serving.read_json(environ)["ttl"]
        return 200, {"lease": self._model.grant_lease(ttl, now)}

    def _watch(self, environ: dict[str, Any]) -> tuple[int, Any]:
        query = parse_qs(environ["QUERY_STRING"])
        prefix = query.get("prefix", [""])[0]
        since = int(query["since"][0])
        deadline = time.monotonic() + int(query["wait_ms"][0]) / 1000.0
        changes = self._model.list_changes(prefix, since)
        while not changes and time.monotonic() < deadline:
            self._changed.wait(deadline - time.monotonic())
            changes = self._model.list_changes(prefix, since)
        return 200, {
            "revision": self._model.revision,
            "changes": [_encode_record(record) for record in changes],
        }


def main(arguments: list[str] | None = None) -> int:
    """Run the simulated store until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    serving.add_listen_options(parser)
    options = parser.parse_args(arguments)
    return serving.serve_until_signal(
        StoreApplication(), options.address, options.port
    )


if __name__ == "__main__":
    sys.exit(main())
