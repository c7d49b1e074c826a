"""Command line interface ``sedgetide`` for operators."""

import argparse
from collections.abc import Iterator
import contextlib
import datetime
import pathlib
import sys

import msgspec

from sedgetide.backends._connection import HttpConnection
from sedgetide.backends.httpstore import HttpStore
from sedgetide.backends.store import Store
from sedgetide.coding.addresses import ADDRESS_FORM
from sedgetide.coding.addresses import split_address
from sedgetide.command import configuration
from sedgetide.command import explain
from sedgetide.command import holders
from sedgetide.core.configuration.services import UpstreamState
from sedgetide.core.errors import InputError
from sedgetide.core.errors import SedgetideError
from sedgetide.core.errors import StoreError
from sedgetide.core.identifiers import Revision
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.assignment import ShardKey
from sedgetide.core.ownership.keyspace import find_home
from sedgetide.core.ownership.keyspace import find_shard
from sedgetide.core.requests.fingerprints import FINGERPRINT_FORM

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_UNAVAILABLE = 3

_STORE_TIMEOUT = 5.0
_STATE_LIMIT = 64 * 1024 * 1024


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SystemExit(
            _report_bad_input(f"{path}: {error.strerror}")
        ) from error


def _report_bad_input(line: str) -> int:
    print(f"sedgetide: {line}", file=sys.stderr)
    return EXIT_BAD_INPUT


def _parse_address(value: str) -> str:
    try:
        split_address(value)
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f"{value!r}: expected {ADDRESS_FORM}"
        ) from error
    return value


@contextlib.contextmanager
def _open_store(options: argparse.Namespace) -> Iterator[Store]:
    store = HttpStore(options.store, _STORE_TIMEOUT)
    try:
        yield store
    finally:
        store.close()


def check_config(options: argparse.Namespace) -> int:
    """Validate a configuration file and print all its problems."""
    configuration.parse_text(_read_file(options.file))
    print("no problems")
    return EXIT_OK


def apply_config(options: argparse.Namespace) -> int:
    """Apply a configuration file."""
    content = _read_file(options.file)
    with _open_store(options) as store:
        revision = configuration.apply_text(
            store, content, Revision(options.base)
        )
    print(f"revision {revision}")
    return EXIT_OK


def show_config(options: argparse.Namespace) -> int:
    """Print the current configuration and its revision."""
    with _open_store(options) as store:
        current = configuration.read_text(store)
    print(f"revision {current.revision}", file=sys.stderr)
    print(current.content)
    return EXIT_OK


def show_owner(options: argparse.Namespace) -> int:
    """Print the shard, home, owner and epoch of a key."""
    with _open_store(options) as store:
        text = configuration.require_text(store)
        service = text.find_service(options.service)
        if service is None or not service.keyed:
            known = [each.name for each in text.services if each.keyed]
            return _report_bad_input(
                f"service {options.service!r}: expected one of "
                + ", ".join(known)
            )
        shard = find_shard(options.key, service.shards)
        home = find_home(shard, service.homes)
        assignment = configuration.read_assignment(store, home)
    owner = assignment.find_owner(ShardKey(ServiceName(service.name), shard))
    found = {"shard": shard, "data_centre": home, "owner": None}
    if owner is not None:
        found.update(
            owner=owner.upstream, epoch=owner.epoch, state=owner.state.value
        )
    print(msgspec.json.encode(found).decode())
    return EXIT_OK


def drain_upstream(options: argparse.Namespace) -> int:
    """Drain an upstream, or make it active again, in the configuration."""
    state = UpstreamState.DRAINING
    if options.undo:
        state = UpstreamState.ACTIVE
    with _open_store(options) as store:
        revision = configuration.set_upstream_state(
            store, options.upstream, state
        )
    print(f"revision {revision}")
    return EXIT_OK


def move_shard(options: argparse.Namespace) -> int:
    """Pin the shard of a key to an upstream."""
    with _open_store(options) as store:
        revision = configuration.pin_shard(
            store, options.service, options.key, options.upstream
        )
    print(f"revision {revision}")
    return EXIT_OK


def show_state(options: argparse.Namespace) -> int:
    """Print the state dump of one process."""
    connection = HttpConnection(options.address, _STATE_LIMIT)
    with contextlib.closing(connection):
        connection.open(_STORE_TIMEOUT)
        answer = connection.exchange("GET", "/state", (), b"", _STORE_TIMEOUT)
    print(msgspec.json.format(answer.body, indent=2).decode())
    return EXIT_OK


def lift_quarantine(options: argparse.Namespace) -> int:
    """Lift the quarantine of a request."""
    connection = HttpConnection(options.address, _STATE_LIMIT)
    path = f"/quarantine/{options.fingerprint}/lift"
    with contextlib.closing(connection):
        connection.open(_STORE_TIMEOUT)
        answer = connection.exchange("POST", path, (), b"", _STORE_TIMEOUT)
    if answer.status != 200:
        return _report_bad_input(
            f"{options.fingerprint!r}: expected a fingerprint in the "
            f"quarantine of `sedgetide state {options.address}`"
        )
    print("lifted")
    return EXIT_OK


def _parse_fingerprint(value: str) -> str:
    if not FINGERPRINT_FORM.fullmatch(value):
        raise argparse.ArgumentTypeError(
            f"{value!r}: expected 32 hexadecimal digits"
        )
    return value


def _add_store(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--store",
        action="append",
        required=True,
        type=_parse_address,
        metavar="IP:PORT",
        help="address of a server of the store; may be repeated",
    )


def _add_config(commands: argparse._SubParsersAction) -> None:
    config = commands.add_parser("config", help="manage the configuration")
    actions = config.add_subparsers(required=True, metavar="ACTION")
    check = actions.add_parser("check", help="validate a configuration file")
    check.add_argument("file")
    check.set_defaults(run=check_config)
    apply = actions.add_parser("apply", help="apply a configuration file")
    apply.add_argument("file")
    apply.add_argument(
        "--base",
        type=int,
        required=True,
        metavar="REVISION",
        help="revision that the file is based on; 0 if there is none yet",
    )
    _add_store(apply)
    apply.set_defaults(run=apply_config)
    show = actions.add_parser("show", help="print the current configuration")
    _add_store(show)
    show.set_defaults(run=show_config)


def explain_request(options: argparse.Namespace) -> int:
    """Print the timeline of a request from the logs of all hosts."""
    try:
        lines = explain.read_lines(options.logs)
        for line in explain.explain_request(options.request, lines):
            print(line)
    except InputError as error:
        return _report_bad_input(f"{error.peer}: {error.detail}")
    return EXIT_OK


def explain_holders(options: argparse.Namespace) -> int:
    """Print which upstreams may have held a key, from all hosts' logs."""
    try:
        lines = explain.read_lines(options.logs)
        for line in holders.explain_holders(
            options.service, options.key, lines, options.at
        ):
            print(line)
    except InputError as error:
        return _report_bad_input(f"{error.peer}: {error.detail}")
    return EXIT_OK


def _parse_time(value: str) -> datetime.datetime:
    try:
        return datetime.datetime.strptime(value, explain.TIME_FORM)
    except ValueError as error:
        raise argparse.ArgumentTypeError(
            f"{value!r}: expected a time as in the logs, "
            "2026-12-02 10:00:04,500"
        ) from error


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="sedgetide", description="Operate a sedgetide deployment."
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_config(commands)
    state = commands.add_parser("state", help="print the state of a process")
    state.add_argument("address", type=_parse_address, metavar="IP:PORT")
    state.set_defaults(run=show_state)
    lift = commands.add_parser("lift", help="lift the quarantine of a request")
    lift.add_argument("address", type=_parse_address, metavar="IP:PORT")
    lift.add_argument("fingerprint", type=_parse_fingerprint)
    lift.set_defaults(run=lift_quarantine)
    owner = commands.add_parser("owner", help="find the owner of a key")
    owner.add_argument("service")
    owner.add_argument("key")
    _add_store(owner)
    owner.set_defaults(run=show_owner)
    drain = commands.add_parser("drain", help="drain an upstream")
    drain.add_argument("upstream")
    drain.add_argument(
        "--undo", action="store_true", help="make it active again"
    )
    _add_store(drain)
    drain.set_defaults(run=drain_upstream)
    move = commands.add_parser("move", help="pin a shard to an upstream")
    move.add_argument("service")
    move.add_argument("key", help="any key of the shard")
    move.add_argument("upstream")
    _add_store(move)
    move.set_defaults(run=move_shard)
    reason = commands.add_parser(
        "explain", help="print the timeline and cause of a request's outcome"
    )
    reason.add_argument("request", metavar="REQUEST-ID")
    reason.add_argument("logs", nargs="+", type=pathlib.Path, metavar="LOG")
    reason.set_defaults(run=explain_request)
    held = commands.add_parser(
        "holders",
        help="print which upstreams may have held a key, and by what proof "
        "each stopped",
    )
    held.add_argument("service")
    held.add_argument("key", help="number, as in the lines of requests")
    held.add_argument("logs", nargs="+", type=pathlib.Path, metavar="LOG")
    held.add_argument("--at", type=_parse_time, help="only at this time")
    held.set_defaults(run=explain_holders)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Entry point of ``sedgetide``.

    Returns
    -------
    int
        Exit status: 0 success, 1 conflicting change, 2 invalid input,
        3 peer unavailable.
    """
    options = make_parser().parse_args(arguments)
    try:
        return options.run(options)
    except InputError as error:
        for line in error.detail.splitlines():
            print(line, file=sys.stderr)
        return EXIT_BAD_INPUT
    except StoreError as error:
        print(f"sedgetide: {error}", file=sys.stderr)
        conflict = hasattr(error, "found")
        return EXIT_REFUSED if conflict else EXIT_UNAVAILABLE
    except SedgetideError as error:
        print(f"sedgetide: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE


if __name__ == "__main__":
    raise SystemExit(main())
