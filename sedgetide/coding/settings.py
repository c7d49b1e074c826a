"""Settings of one process: a JSON file checked as a whole at start."""

from collections.abc import Iterator
import pathlib
from typing import TypeVar

import msgspec

from sedgetide.coding.addresses import check_address
from sedgetide.coding.checking import find_problems
from sedgetide.coding.checking import Problem
from sedgetide.core.constraints import HoldMilliseconds
from sedgetide.core.constraints import Name
from sedgetide.core.constraints import NonNegativeFloat
from sedgetide.core.constraints import PositiveFloat
from sedgetide.core.constraints import PositiveInt
from sedgetide.core.constraints import Seconds
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import InputError
from sedgetide.core.errors import Step
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import HostName
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.timing import Timing

SettingsT = TypeVar("SettingsT", bound="ProcessSettings")


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of a process.

    Parameters
    ----------
    body_bytes : int
        Largest body of a request or an answer.
    header_bytes : int
        Largest sum of a request's header names and values.
    requests : int
        Requests in hand at a time.
    queue : int
        Requests waiting for one upstream.
    operations : int
        Operation ids remembered for one upstream.
    operation_window : float
        Seconds for which they are remembered.
    clock_skew : float
        Largest difference of wall clocks in seconds.
    drain : float
        Seconds a planned stop may take.
    drain_notice : float
        Seconds between unreadiness and the end of listening.
    """

    body_bytes: PositiveInt = 16 * 1024 * 1024
    header_bytes: PositiveInt = 32 * 1024
    requests: PositiveInt = 2000
    queue: PositiveInt = 1000
    operations: PositiveInt = 50_000
    operation_window: Seconds = 600.0
    clock_skew: Seconds = 1.0
    drain: Seconds = 15.0
    drain_notice: Seconds = 1.0


class ProcessSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings that every daemon has.

    Parameters
    ----------
    host : str
        Name of the host, unique in the deployment.
    data_centre : str
        Data centre of the host, as named in the operators' text.
    admin : str
        ``IP:port`` to listen on for metrics, state and readiness.
    link : str
        ``IP:port`` to listen on for the project's own processes.
    keepers : tuple of str
        Link addresses of some keepers of the own data centre, from which
        the others are learnt.
    log_level : str
        Least severe level that is logged.
    """

    host: Name
    data_centre: Name
    admin: str
    link: str
    keepers: tuple[str, ...] = ()
    limits: Limits = Limits()
    timing: Timing = Timing()
    log_level: str = "INFO"

    @property
    def host_name(self) -> HostName:
        """Host as a typed identifier."""
        return HostName(self.host)

    @property
    def home(self) -> DataCentre:
        """Data centre as a typed identifier."""
        return DataCentre(self.data_centre)


class EntrySettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of ``sedgetide-entry``.

    Parameters
    ----------
    listen : str
        ``IP:port`` for callers.
    """

    listen: str


class KeeperSettings(ProcessSettings, frozen=True, kw_only=True):
    """Settings of ``sedgetide-keeper``.

    Parameters
    ----------
    stores : tuple of str
        ``IP:port`` of the platform's store.
    """

    stores: tuple[str, ...]


class HostSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a host whose upstreams register themselves.

    A deployment that sets no bound of its own has null there, which leaves
    the default in force.

    Parameters
    ----------
    host, data_centre : str
        Name of the host and of its data centre.
    listen : str
        ``IP:port`` for callers.
    ready : str
        ``IP:port`` at which the balancer asks for readiness.
    admin : str
        ``IP:port`` for metrics and the state dump.
    link : str
        ``IP:port`` for the project's own processes.
    stores : tuple of str
        ``IP:port`` of the store.
    grace : float
        Seconds between SIGTERM and the kill.
    max_hold_ms : float
        Longest life of a grant that upstreams accept, in milliseconds.
    retry_ratio : float
        Share of the requests for a service that all hosts together may
        send once more; each keeps to four fifths of it on its own.
    retry_slack : float
        Retries that all hosts together may make besides, at a time. A
        deployment that scales its bounds by its size has fractions here.
    evacuate_ms : float
        Milliseconds after which an evacuated data centre's upstreams may
        get nothing more.
    cold_overrun, cold_slack : float
        Cold upstreams may get so many times the rate that their service
        states, and so many requests a second besides.
    processor_share : float
        Share of its processors' time that the host may take.
    processors : float
        How many times as fast as one core they are.
    memory_mb : float
        Memory of the process in megabytes; bounds the bodies in hand.
    limits : Limits
        Bounds; a planned stop takes ``grace`` less a reserve, not ``drain``.
    durations : Durations
        On which single ownership rests; the same on all hosts.
    log_level : str
        Least severe level that is logged.
    """

    host: Name
    data_centre: Name
    listen: str
    ready: str
    admin: str
    link: str
    stores: tuple[str, ...]
    grace: NonNegativeFloat = 16.0
    max_hold_ms: HoldMilliseconds = 10_000.0
    retry_ratio: NonNegativeFloat = 0.2
    retry_slack: NonNegativeFloat = 50.0
    evacuate_ms: NonNegativeFloat = 5000.0
    cold_overrun: NonNegativeFloat = 1.0
    cold_slack: NonNegativeFloat = 0.0
    processor_share: PositiveFloat = 1.0
    processors: PositiveFloat = 1.0
    memory_mb: PositiveFloat = 1024.0
    limits: Limits = Limits()
    durations: Durations = Durations()
    log_level: str = "INFO"

    @property
    def host_name(self) -> HostName:
        """Host as a typed identifier."""
        return HostName(self.host)

    @property
    def available_cores(self) -> float:
        """Cores' worth of time that the host has."""
        return self.processor_share * self.processors

    def fit_durations(self) -> Durations:
        """Return the durations within what upstreams accept."""
        return self.durations.cap_holds(self.max_hold_ms / 1000.0)


def _check_addresses(settings: ProcessSettings) -> Iterator[Problem]:
    for field in ("admin", "listen", "ready", "link"):
        address = getattr(settings, field, None)
        if address is not None:
            yield from check_address(address, f"$.{field}")
    for field in ("keepers", "stores"):
        for index, address in enumerate(getattr(settings, field, ())):
            yield from check_address(address, f"$.{field}[{index}]")
    if getattr(settings, "stores", None) == ():
        yield Problem("$.stores", "[]", "a list of one IP:port or more")


def _refuse(path: str, detail: str) -> InputError:
    return InputError(ErrorCode.BAD_SETTINGS, Step.START, path, detail)


def load_settings(path: str, kind: type[SettingsT]) -> SettingsT:
    """Read and check the settings file of a process.

    Parameters
    ----------
    path : str
        JSON file.
    kind : type
        :class:`EntrySettings` or :class:`KeeperSettings`.

    Raises
    ------
    InputError
        One line with the path in the file, the value and what is accepted.
    """
    try:
        document = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise _refuse(path, str(error)) from error
    if kind is HostSettings and isinstance(document, dict):
        document = {
            name: value
            for name, value in document.items()
            if value is not None
        }
    problems = list(find_problems(document, kind))
    if not problems:
        settings = msgspec.convert(document, kind)
        problems = list(_check_addresses(settings))
    if problems:
        raise _refuse(path, str(problems[0]))
    return settings
