"""Simulated store process that implements the platform's protocol.

Faults are injected by ``POST /fault``, see :class:`StoreFault`. Three more
kinds act once: ``forget`` drops the history, ``revoke`` revokes all leases,
and ``restore`` makes the store unavailable for ``seconds`` and then restores
it from a copy that is ``age`` seconds old.
"""

import argparse
import base64
import collections
import random
import time
from typing import Any
from urllib.parse import parse_qs

import gevent
import msgspec

from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import Listing
from sedgetide.backends.leasestore import NO_LEASE
from sedgetide.backends.leasestore import Write
from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.core.errors import HistoryLost
from sedgetide.core.errors import LeaseEnded
from sedgetide.core.errors import StoreConflict
from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.identifiers import Revision
from sedgetide.platform import _names
from sedgetide.runtime.signals import ChangeSignal
from sedgetide.runtime.sockets import open_listener
from sedgetide.testing.leasestore import LeaseStoreModel
from sedgetide.testing.leasestore import StoreCopy
from sedgetide.testing.leasestore import StoreFault
from sedgetide.testing.serving import run_server
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request
from sedgetide.wire.server import Server

_TICK = 0.05
_UNANSWERED_FOR = 30.0
# Interval of copies in seconds, and number of copies that are kept.
_COPY_INTERVAL = 0.25
_MAX_COPIES = 40
# Seconds within which operators repeat writes that a restore has lost.
_REWRITE_WITHIN = 1.5


class _Copy(msgspec.Struct, frozen=True):
    """Copy of the store and of the lease of each registry entry."""

    made_at: float
    store: StoreCopy
    entries: dict[str, LeaseId]


class _Fault(msgspec.Struct):
    kind: StoreFault
    seconds: float = 0.0


def _encode_item(item: Item) -> dict[str, Any]:
    if item.value is None:
        return {
            "key": item.key,
            "revision": item.position.revision,
            "tombstone": True,
        }
    return {
        "key": item.key,
        "revision": item.position.revision,
        "value": base64.b64encode(item.value).decode(),
    }


def _answer(status: int, document: Any = None) -> Answer:
    body = b"{}" if document is None else msgspec.json.encode(document)
    return Answer(status, [("Content-Type", "application/json")], body)


class PlatformStoreServer:
    """HTTP server for a :class:`LeaseStoreModel`, with injected faults.

    Parameters
    ----------
    era : int
        First era; answers carry no era while it is 0.
    """

    def __init__(self, era: int) -> None:
        self.model = LeaseStoreModel(era=Era(era))
        self._copies: collections.deque[_Copy] = collections.deque(
            maxlen=_MAX_COPIES
        )
        self._changes = ChangeSignal()
        # Last value that operators wrote to each key, also if it was lost.
        self._operator_values: dict[str, bytes | None] = {}
        self._entry_leases: dict[str, LeaseId] = {}
        self._fault: StoreFault | None = None
        self._fault_until = 0.0
        self._handlers = {
            _names.ITEM_PATH: self._read,
            _names.RANGE_PATH: self._list,
            _names.WATCH_PATH: self._watch,
            _names.TRANSACTION_PATH: self._transact,
            _names.LEASE_PATH: self._open_lease,
            "/fault": self._set_fault,
            "/put": self._put,
        }

    def serve(self, request: Request) -> Answer:
        """Handle one call as the current fault prescribes."""
        answer = self._serve(request)
        era = self.model.era
        if era != FIRST_ERA:
            answer.headers.append((_names.STORE_ERA, str(era)))
        return answer

    def _serve(self, request: Request) -> Answer:
        self.model.expire(time.monotonic())
        fault = self._find_fault()
        if request.path == "/fault" or fault is None:
            return self._call(request)
        if fault is StoreFault.DOWN:
            return _answer(503)
        if fault is StoreFault.LOST:
            self._call(request)
        elif fault is StoreFault.LATE:
            gevent.spawn_later(3.0, self._call, request)
        gevent.sleep(_UNANSWERED_FOR)
        return _answer(503)

    def _find_fault(self) -> StoreFault | None:
        if time.monotonic() >= self._fault_until:
            return None
        return self._fault

    def _call(self, request: Request) -> Answer:
        call = self._handlers.get(request.path, self._call_lease)
        try:
            answer = call(request)
        except StoreConflict:
            return _answer(412, {"items": []})
        except LeaseEnded:
            return _answer(404)
        except HistoryLost:
            return _answer(410)
        self._changes.notify_all()
        return answer

    def _query(self, request: Request) -> dict[str, str]:
        query = parse_qs(request.target.partition("?")[2])
        return {name: values[0] for name, values in query.items()}

    def _read(self, request: Request) -> Answer:
        item = self.model.find(self._query(request)["key"])
        if item is None:
            return _answer(404)
        return _answer(200, _encode_item(item))

    def _list(self, request: Request) -> Answer:
        query = self._query(request)
        listing = self.model.list(query.get("path-prefix", ""))
        return _answer(
            200,
            {
                "items": [_encode_item(item) for item in listing.items],
                "has-more": False,
                "as-of": listing.position.revision,
            },
        )

    def _watch(self, request: Request) -> Answer:
        query = self._query(request)
        prefix = query.get("path-prefix", "")
        since = Revision(int(query["after"]))
        end = time.monotonic() + int(query["wait-ms"]) / 1000.0
        while True:
            listing = self.model.list_changes(prefix, since)
            left = end - time.monotonic()
            if listing.items or left <= 0:
                return self._answer_events(listing)
            self._changes.wait(left)

    def _answer_events(self, listing: Listing) -> Answer:
        events = [_encode_item(item) for item in listing.items]
        return _answer(
            200, {"events": events, "as-of": listing.position.revision}
        )

    def _transact(self, request: Request) -> Answer:
        document = msgspec.json.decode(request.body)
        position = self.model.transact(
            {row["key"]: row["revision"] for row in document["expect"]},
            [
                Write(
                    row["key"],
                    base64.b64decode(row["value"]),
                    LeaseId(row.get("lease", 0)),
                )
                for row in document["writes"]
            ],
        )
        return _answer(200, {"revision": position.revision})

    def _open_lease(self, request: Request) -> Answer:
        life = msgspec.json.decode(request.body)["ttl-ms"] / 1000.0
        lease = self.model.open_lease(life, time.monotonic())
        return _answer(200, {"lease": lease, "ttl-ms": int(life * 1000)})

    def _call_lease(self, request: Request) -> Answer:
        path, _, number = request.path.rpartition("/")
        if not number.isdigit():
            return _answer(404)
        lease = LeaseId(int(number))
        if path == _names.KEEP_PATH:
            self.model.renew_lease(lease, time.monotonic())
        elif path == _names.LEASE_END_PATH:
            self.model.end_lease(lease)
        else:
            return _answer(404)
        return _answer(200, {"ttl-ms": 0})

    # Calls of operators, upstreams and tests

    def _put(self, request: Request) -> Answer:
        """Write or remove a key; one with a life expires unless renewed."""
        document = msgspec.json.decode(request.body)
        key, value = document["key"], document.get("value")
        if key.startswith(_names.OPERATOR_PREFIX):
            operator_value = (
                None if value is None else msgspec.json.encode(value)
            )
            self._operator_values[key] = operator_value
        if value is None:
            if self.model.find(key) is not None:
                self.model.put(key, None)
            return _answer(200)
        raw = msgspec.json.encode(value)
        lease = self._renew_entry(key, document.get("life"))
        known = self.model.find(key)
        if known is None or known.value != raw:
            self.model.put(key, raw, lease)
        return _answer(200)

    def _renew_entry(self, key: str, life: float | None) -> LeaseId:
        """Renew the lease of an entry, or open a new one."""
        if life is None:
            return NO_LEASE
        now = time.monotonic()
        lease = self._entry_leases.get(key)
        try:
            if lease is None:
                raise KeyError(key)
            self.model.renew_lease(lease, now)
        except (KeyError, LeaseEnded):
            lease = self.model.open_lease(life, now)
            self._entry_leases[key] = lease
        return lease

    def _set_fault(self, request: Request) -> Answer:
        document = msgspec.json.decode(request.body)
        if document["kind"] == "forget":
            self.model.forget_history()
        elif document["kind"] == "revoke":
            self._revoke(document)
        elif document["kind"] == "restore":
            self._begin_restore(document["age"], document["seconds"])
        else:
            fault = msgspec.convert(document, _Fault)
            self._fault = fault.kind
            self._fault_until = time.monotonic() + fault.seconds
        return _answer(200)

    def _revoke(self, document: dict[str, Any]) -> None:
        """Revoke all leases, or those that are not of registry entries."""
        kept = set()
        if document.get("keep-entries"):
            kept = set(self._entry_leases.values())
        self.model.revoke_all(document.get("forget", True), kept)

    # Restore from a copy

    def _begin_restore(self, age: float, seconds: float) -> None:
        made_before = time.monotonic() - age
        found = self._copies[0]
        for copy in self._copies:
            if copy.made_at <= made_before:
                found = copy
        self._fault = StoreFault.DOWN
        self._fault_until = float("inf")
        gevent.spawn_later(seconds, self._finish_restore, found)

    def _finish_restore(self, copy: _Copy) -> None:
        self._fault_until = 0.0
        self.model.restore(copy.store, time.monotonic())
        self._entry_leases = dict(copy.entries)
        self._copies.clear()
        self._changes.notify_all()
        for key in self._operator_values:
            gevent.spawn_later(
                random.uniform(0.0, _REWRITE_WITHIN), self._rewrite, key
            )

    def _rewrite(self, key: str) -> None:
        """Repeat the operators' last write of a key if it was lost."""
        found = self.model.find(key)
        value = self._operator_values[key]
        if value != (None if found is None else found.value):
            self.model.put(key, value)
            self._changes.notify_all()

    def copy_loop(self) -> None:
        """Make copies periodically; the oldest are dropped."""
        while True:
            copy = _Copy(
                time.monotonic(), self.model.copy(), dict(self._entry_leases)
            )
            self._copies.append(copy)
            gevent.sleep(_COPY_INTERVAL)

    def expire_loop(self) -> None:
        """Expire leases also while no calls arrive."""
        while True:
            gevent.sleep(_TICK)
            before = self.model.revision
            self.model.expire(time.monotonic())
            if self.model.revision != before:
                self._changes.notify_all()


def main() -> int:
    """Run the store until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--era", type=int, default=0)
    options = parser.parse_args()
    store = PlatformStoreServer(options.era)
    gevent.spawn(store.expire_loop)
    gevent.spawn(store.copy_loop)
    server = Server(store.serve, lambda _: True, CallerLimits)
    return run_server(server, open_listener("127.0.0.1", options.port))


if __name__ == "__main__":
    raise SystemExit(main())
