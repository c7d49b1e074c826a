"""Simulated upstream process.

Usage: ``python -m sedgetide.testing.upstream --name mf-01 [--port N]``.
Faults are injected by ``POST /fault``; the journal of all operations that it
ran is at ``/journal``.
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
_MAX_LOADS = 1000


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Behaviour of a simulated upstream; a fault can change each field.

    Parameters
    ----------
    service_ms : float
        Service time of a request.
    cold_ms, cold_until : float
        Additional time while cold, and the clock time at which it ends.
    answer_bytes : int
        Size of the padding in an answer.
    cut_answers : bool
        Whether to close the connection half way through an answer.
    silent_before : float
        Connections opened before this clock time get no further answers.
    drop_answers : bool
        Whether to run requests without answering them.
    load : float or None
        Load to report instead of the actual one.
    load_lag : float
        Age in seconds of the reported load.
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
            maxlen=_MAX_LOADS
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
        self._block_silenced(environ)
        if path.startswith(protocol.CONTROL_PREFIX):
            return self._control(environ, start_response)
        return self._work(environ, start_response)

    def _block_silenced(self, environ: dict[str, Any]) -> None:
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
        number = _find_header(environ, protocol.HEADER_REQUEST_ID)
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
            [(protocol.HEADER_REQUEST_ID, number)],
        )

    def _report_load(self, now: float) -> float:
        """Return the load to report, which may be old or wrong."""
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
        own_headers = [(protocol.HEADER_REQUEST_ID, number)]
        body = environ["wsgi.input"].read()
        declined = self._find_refusal(environ)
        if declined:
            own_headers.append((protocol.HEADER_DECLINED, declined))
            status = 503 if declined == "shed" else 409
            return serving.answer(
                start_response, status, {"declined": declined}, own_headers
            )
        self._model.running += 1
        try:
            with self._slots:
                return self._run(environ, start_response, own_headers, body)
        finally:
            self._model.running -= 1

    def _find_refusal(self, environ: dict[str, Any]) -> str:
        stamp = _find_header(environ, protocol.HEADER_STAMP) or "0"
        life = _find_header(environ, protocol.HEADER_LIFE) or "1e12"
        return self._model.find_refusal(
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
        own_headers: list[tuple[str, str]],
        body: bytes,
    ) -> Iterable[bytes]:
        number = own_headers[0][1]
        # Check again: the grant may have ended while waiting for the slot.
        declined = self._find_refusal(environ)
        if not declined and not self._model.start(number):
            declined = "cancelled"
        if declined:
            own_headers.append((protocol.HEADER_DECLINED, declined))
            return serving.answer(
                start_response, 409, {"declined": declined}, own_headers
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
        self._append_to_journal(entry)
        gevent.sleep(self._find_duration())
        entry.ended = time.monotonic()
        if self._behaviour.drop_answers:
            gevent.sleep(_FOREVER)
        return self._answer(entry, start_response, own_headers, body)

    def _append_to_journal(self, entry: JournalEntry) -> None:
        """Append an entry to the journal file, which outlives the process."""
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
        own_headers: list[tuple[str, str]],
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
            return serving.answer(start_response, 200, document, own_headers)
        whole = msgspec.json.encode(document)
        start_response(
            "200 OK", [("Content-Length", str(len(whole))), *own_headers]
        )
        return _send_half(whole)


def _send_half(whole: bytes) -> Iterable[bytes]:
    yield whole[: len(whole) // 2]
    raise ConnectionAbortedError("answer truncated by an injected fault")


def main(arguments: list[str] | None = None) -> int:
    """Run the simulated upstream until SIGTERM."""
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
