"""Stand-in for an upstream, as a process.

Usage: ``python -m sedgetide.testing.upstream --name mf-01 [--port N]``.
Faults are switched by ``POST /fault``; the journal of all operations it
really ran is at ``/journal``.
"""

import argparse
import collections
from collections.abc import Iterable
import pathlib
import sys
import time
from typing import Any
import uuid

import gevent
from gevent.lock import BoundedSemaphore
import msgspec

from sedgetide.backends import httpupstream as protocol
from sedgetide.core.identifiers import Epoch
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.identifiers import Shard
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.testing import serving
from sedgetide.testing.upstreammodel import JournalEntry
from sedgetide.testing.upstreammodel import UpstreamModel

_FOREVER = 3600.0
_KEPT_LOADS = 1000


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """How the stand-in behaves; each field can be changed by a fault.

    Parameters
    ----------
    service_ms : float
        Time a request takes.
    cold_ms, cold_until : float
        Extra time while cold, and the clock time it ends.
    answer_bytes : int
        Size of an answer's filling.
    cut_answers : bool
        End answers half way.
    silent_before : float
        Connections opened before this clock time stay silent for good.
    drop_answers : bool
        Run requests but never answer.
    load : float or None
        Load to report in place of the true one.
    load_lag : float
        Age in seconds of the load that is reported.
    """

    service_ms: float = 2.0
    cold_ms: float = 0.0
    cold_until: float = 0.0
    answer_bytes: int = 100
    cut_answers: bool = False
    silent_before: float = 0.0
    drop_answers: bool = False
    load: float | None = None
    load_lag: float = 0.0


def _find_header(environ: dict[str, Any], name: str) -> str:
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "")


def _parse_shards(rows: list[list[Any]]) -> dict[ShardKey, Epoch]:
    return {
        ShardKey(ServiceName(service), Shard(shard)): Epoch(epoch)
        for service, shard, epoch in rows
    }


def _parse_shard(text: str) -> ShardKey | None:
    if not text:
        return None
    service, _, shard = text.rpartition("/")
    return ShardKey(ServiceName(service), Shard(int(shard)))


class UpstreamApplication:
    """WSGI application around an :class:`UpstreamModel`."""

    def __init__(
        self,
        model: UpstreamModel,
        behaviour: Behaviour,
        journal_file: pathlib.Path | None = None,
    ) -> None:
        self._model = model
        self._behaviour = behaviour
        self._opened: dict[str, float] = {}
        self._slots = BoundedSemaphore(model.slots)
        self._journal_file = journal_file
        self._loads: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=_KEPT_LOADS
        )

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: serving.StartResponse,
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/fault":
            document = serving.read_json(environ)
            if document.pop("silence", False):
                document["silent_before"] = time.monotonic()
            for name, value in document.items():
                setattr(self._behaviour, name, value)
            return serving.answer(start_response, 200, {})
        if path == "/journal":
            return serving.answer(start_response, 200, self._model.journal)
        self._stay_silent(environ)
        if path.startswith(protocol.CONTROL_PREFIX):
            return self._control(environ, start_response)
        return self._work(environ, start_response)

    def _stay_silent(self, environ: dict[str, Any]) -> None:
        port = environ["REMOTE_PORT"]
        opened = self._opened.setdefault(port, time.monotonic())
        if opened < self._behaviour.silent_before:
            gevent.sleep(_FOREVER)

    def _control(
        self,
        environ: dict[str, Any],
        start_response: serving.StartResponse,
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"].removeprefix(protocol.CONTROL_PREFIX)
        document = serving.read_json(environ)
        now = time.monotonic()
        if path.startswith("/cancel/"):
            begun = self._model.cancel(path.rpartition("/")[2])
            return serving.answer(start_response, 200, {"begun": begun})
        previous, refused = self._model.orderer, []
        held = self._model.measure_held(now)
        if path == "/grants":
            previous, refused = self._model.grant(
                document["orderer"],
                document["stamp"],
                document["life_ms"] / 1000.0,
                _parse_shards(document["shards"]),
                now,
            )
        elif path == "/releases":
            refused = self._model.release(_parse_shards(document["shards"]))
        return serving.answer(
            start_response,
            200,
            {
                "incarnation": self._model.incarnation,
                "stamp": self._model.issue_stamp(now),
                "orderer": previous,
                "held_ms": held * 1000.0,
                "refused": refused,
                "load": self._report_load(now),
            },
        )

    def _report_load(self, now: float) -> float:
        """Return the load, late or misleading as ordered."""
        self._loads.append((now, self._model.running))
        if self._behaviour.load is not None:
            return self._behaviour.load
        limit = now - self._behaviour.load_lag
        old = [load for at, load in self._loads if at <= limit]
        return old[-1] if old else self._loads[0][1]

    def _work(
        self,
        environ: dict[str, Any],
        start_response: serving.StartResponse,
    ) -> Iterable[bytes]:
        number = _find_header(environ, protocol.HEADER_REQUEST_ID)
        own = [(protocol.HEADER_REQUEST_ID, number)]
        body = environ["wsgi.input"].read()
        declined = self._judge(environ)
        if declined:
            own.append((protocol.HEADER_DECLINED, declined))
            status = 503 if declined == "shed" else 409
            return serving.answer(
                start_response, status, {"declined": declined}, own
            )
        self._model.running += 1
        try:
            with self._slots:
                return self._run(environ, start_response, own, body)
        finally:
            self._model.running -= 1

    def _judge(self, environ: dict[str, Any]) -> str:
        stamp = _find_header(environ, protocol.HEADER_STAMP) or "0"
        life = _find_header(environ, protocol.HEADER_LIFE) or "1e12"
        return self._model.judge(
            _parse_shard(_find_header(environ, protocol.HEADER_SHARD)),
            int(_find_header(environ, protocol.HEADER_EPOCH) or 0),
            _find_header(environ, protocol.HEADER_ORDERER),
            float(stamp) + float(life) / 1000.0,
            time.monotonic(),
        )

    def _run(
        self,
        environ: dict[str, Any],
        start_response: serving.StartResponse,
        own: list[tuple[str, str]],
        body: bytes,
    ) -> Iterable[bytes]:
        number = own[0][1]
        # The slot may have come late; what was right then may be stale.
        declined = self._judge(environ)
        if not declined and not self._model.start(number):
            declined = "cancelled"
        if declined:
            own.append((protocol.HEADER_DECLINED, declined))
            return serving.answer(
                start_response, 409, {"declined": declined}, own
            )
        entry = JournalEntry(
            self._model.name,
            time.monotonic(),
            _find_header(environ, protocol.HEADER_SHARD),
            int(_find_header(environ, protocol.HEADER_EPOCH) or 0),
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            _find_header(environ, "idempotency-key") or number,
            number,
        )
        self._model.begin(entry)
        self._keep(entry)
        gevent.sleep(self._find_duration())
        entry.ended = time.monotonic()
        if self._behaviour.drop_answers:
            gevent.sleep(_FOREVER)
        return self._answer(entry, start_response, own, body)

    def _keep(self, entry: JournalEntry) -> None:
        """Write an entry where it outlives the process."""
        if self._journal_file is not None:
            with self._journal_file.open("ab") as stream:
                stream.write(msgspec.json.encode(entry) + b"\n")

    def _find_duration(self) -> float:
        cold = time.monotonic() < self._behaviour.cold_until
        extra = self._behaviour.cold_ms if cold else 0.0
        return (self._behaviour.service_ms + extra) / 1000.0

    def _answer(
        self,
        entry: JournalEntry,
        start_response: serving.StartResponse,
        own: list[tuple[str, str]],
        body: bytes,
    ) -> Iterable[bytes]:
        document = {
            "upstream": self._model.name,
            "path": entry.path,
            "request": entry.request,
            "body": body.decode("latin-1"),
            "filling": "x" * self._behaviour.answer_bytes,
        }
        if not self._behaviour.cut_answers:
            return serving.answer(start_response, 200, document, own)
        whole = msgspec.json.encode(document)
        start_response("200 OK", [("Content-Length", str(len(whole))), *own])
        return _cut(whole)


def _cut(whole: bytes) -> Iterable[bytes]:
    yield whole[: len(whole) // 2]
    raise ConnectionAbortedError("cut as ordered")


def main(arguments: list[str] | None = None) -> int:
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    serving.add_listen_options(parser)
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, default=2)
    parser.add_argument("--connections", type=int, default=130)
    parser.add_argument("--service-ms", type=float, default=2.0)
    parser.add_argument("--answer-bytes", type=int, default=100)
    parser.add_argument("--unchecked", action="store_true")
    parser.add_argument("--journal", type=pathlib.Path, metavar="FILE")
    options = parser.parse_args(arguments)
    model = UpstreamModel(
        options.name, uuid.uuid4().hex, not options.unchecked, options.slots
    )
    behaviour = Behaviour(
        service_ms=options.service_ms, answer_bytes=options.answer_bytes
    )
    application = UpstreamApplication(model, behaviour, options.journal)
    return serving.serve_until_signal(
        application, options.address, options.port, options.connections
    )


if __name__ == "__main__":
    sys.exit(main())
