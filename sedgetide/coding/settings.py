"""Settings of a process, read from a JSON file and validated at startup."""

from collections.abc import Iterator
import pathlib
from typing import TypeVar

import msgspec

from sedgetide.coding.addresses import check_address
from sedgetide.coding.checking import find_problems
from sedgetide.coding.checking import Problem
from sedgetide.coding.decoding import decode_json
from sedgetide.core.constraints import HoldMilliseconds
from sedgetide.core.constraints import Name
from sedgetide.core.constraints import NonNegativeFloat
from sedgetide.core.constraints import Port
from sedgetide.core.constraints import PositiveFloat
from sedgetide.core.constraints import PositiveInt
from sedgetide.core.constraints import Seconds
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import InputError
from sedgetide.core.errors import Step
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import HostName
from sedgetide.core.membership.capacity import HostCapacity
from sedgetide.core.ownership.leadership import Durations
from sedgetide.core.timing import Timing

SettingsT = TypeVar("SettingsT", bound="ProcessSettings")


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of a process.

    Parameters
    ----------
    body_bytes : int
        Maximum size of a request or response body.
    header_bytes : int
        Maximum total size of the header names and values of a request.
    requests : int
        Maximum number of concurrent requests.
    queue : int
        Maximum number of requests queued for one upstream.
    operations : int
        Maximum number of operation ids remembered for one upstream.
    operation_window : float
        Seconds for which operation ids are remembered.
    clock_skew : float
        Maximum difference between wall clocks in seconds.
    drain : float
        Maximum duration of a planned stop in seconds.
    drain_notice : float
        Seconds between becoming unready and closing the listening socket.
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
    """Settings common to the entry and keeper daemons.

    Parameters
    ----------
    host : str
        Name of the host, unique in the deployment.
    data_centre : str
        Data centre of the host, as named in the configuration.
    admin : str
        ``IP:port`` to listen on for metrics, state and readiness.
    link : str
        ``IP:port`` to listen on for other sedgetide processes.
    keepers : tuple of str
        Link addresses of some keepers of the same data centre, used to
        discover the others.
    log_level : str
        Minimum severity of logged events.
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
        ``IP:port`` of the servers of the store.
    """

    stores: tuple[str, ...]


class HostSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a host whose upstreams register themselves.

    Null values, which a deployment writes for limits that it does not set,
    select the default.

    Parameters
    ----------
    host, data_centre : str
        Name of the host and of its data centre.
    listen : str
        ``IP:port`` for callers.
    ready : str
        ``IP:port`` of the readiness endpoint for the load balancer.
    admin : str
        ``IP:port`` for metrics and the state dump.
    link : str
        ``IP:port`` to listen on for other sedgetide processes.
    forward_port : int
        Port, at the IP of ``link``, to listen on for requests of other hosts
        that have lost their path to an upstream. Without it, or if it is the
        port of ``link``, the host neither takes such requests nor passes any
        on: a deployment may have a single port between hosts.
    stores : tuple of str
        ``IP:port`` of the servers of the store.
    grace : float
        Seconds between SIGTERM and SIGKILL.
    max_hold_ms : float
        Maximum lifetime of a grant that upstreams accept, in milliseconds.
    retry_ratio : float
        Fraction of the requests for a service that all hosts together may
        retry; each host on its own limits itself to four fifths of it.
    retry_slack : float
        Additional concurrent retries of all hosts together. Deployments
        that scale it by their size use fractions.
    evacuate_ms : float
        Milliseconds after which the upstreams of an evacuated data centre
        may no longer receive requests.
    cold_overrun, cold_slack : float
        A cold upstream may receive ``cold_overrun`` times the rate stated
        by its service, plus ``cold_slack`` requests per second.
    processor_share : float
        Fraction of the processors' time that the host may use.
    processors : float
        Speed of the processors as a multiple of one core.
    memory_mb : float
        Memory of the process in megabytes; limits the request bodies held.
    link_mbps : float
        Bandwidth of the host's network link in megabits per second.
    limits : Limits
        Further limits. A planned stop may take ``grace`` minus a reserve;
        ``drain`` is not used.
    durations : Durations
        Durations that exclusive ownership depends on; must be the same on
        all hosts.
    log_level : str
        Minimum severity of logged events.
    """

    host: Name
    data_centre: Name
    listen: str
    ready: str
    admin: str
    link: str
    stores: tuple[str, ...]
    forward_port: Port | None = None
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
    link_mbps: PositiveFloat = 1000.0
    limits: Limits = Limits()
    durations: Durations = Durations()
    log_level: str = "INFO"

    @property
    def host_name(self) -> HostName:
        """Host as a typed identifier."""
        return HostName(self.host)

    @property
    def forward_address(self) -> str | None:
        """Address to listen on for requests of other hosts, or None."""
        if self.forward_port is None:
            return None
        address = f"{self.link.rpartition(':')[0]}:{self.forward_port}"
        return None if address == self.link else address

    @property
    def available_cores(self) -> float:
        """Number of cores that the host may use, possibly a fraction."""
        return self.processor_share * self.processors

    @property
    def capacity(self) -> HostCapacity:
        """Capacity of the host to lead and to lend places."""
        return HostCapacity(self.available_cores, self.link_mbps)

    def fit_durations(self) -> Durations:
        """Return the durations, capped at the hold that upstreams accept."""
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


def _make_error(path: str, detail: str) -> InputError:
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
        If the file is invalid. The detail is one line with the path in the
        document, the value and what is expected.
    """
    try:
        document = decode_json(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise _make_error(path, str(error)) from error
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
        raise _make_error(path, str(problems[0]))
    return settings
