"""Start-up and stop code shared by the entry and the keeper."""

import argparse
import logging
import secrets
import signal
import sys
from typing import TypeVar

import gevent
from gevent.event import Event

from sedgetide.coding.settings import load_settings
from sedgetide.coding.settings import ProcessSettings
from sedgetide.core.errors import InputError
from sedgetide.daemons._logs import configure_logging

EXIT_BAD_SETTINGS = 2
_INCARNATION_BYTES = 6

SettingsT = TypeVar("SettingsT", bound=ProcessSettings)

_log = logging.getLogger(__name__)


def read_settings(
    program: str,
    description: str,
    kind: type[SettingsT],
    arguments: list[str] | None,
) -> SettingsT:
    """Load the settings file named on the command line.

    Parameters
    ----------
    program, description : str
        Program name and description shown by ``--help``.
    kind : type
        Class of the settings.
    arguments : list of str or None
        Command-line arguments; None for those of the process.

    Raises
    ------
    SystemExit
        With code 2, after one line on standard error, when the settings
        are invalid.
    """
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("settings", help="JSON file of settings")
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings, kind)
    except InputError as error:
        print(f"{program}: {error.peer}: {error.detail}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from error
    configure_logging(settings.log_level, settings.host, program)
    return settings


def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    stopped.wait()
    _log.info("stopping")


def make_incarnation() -> str:
    """Return a unique id for this process.

    It is short because every heartbeat carries it.
    """
    return secrets.token_hex(_INCARNATION_BYTES)
