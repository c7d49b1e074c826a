"""Daemon of a host: routes callers' requests, and may lead the hosts."""

from collections.abc import Callable
import contextlib
import functools
import itertools
import random
import resource
import signal
import sys
from typing import Any

import gevent
from gevent.event import Event as StopEvent
import msgspec

from sedgetide.backends.dialects import OrderDialect
from sedgetide.backends.dialects import RegistryDialect
from sedgetide.backends.dialects import RequestDialect
from sedgetide.backends.eras import EraTracker
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.coding.addresses import split_address
from sedgetide.coding.messages import AnyMessage
from sedgetide.coding.messages import AskPlace
from sedgetide.coding.messages import AskTrial
from sedgetide.coding.messages import EndPlace
from sedgetide.coding.messages import EndTrial
from sedgetide.coding.messages import HoldsReport
from sedgetide.coding.messages import LeaderNotice
from sedgetide.coding.messages import Lenders
from sedgetide.coding.messages import LoadReport
from sedgetide.coding.messages import Message
from sedgetide.coding.messages import Moved
from sedgetide.coding.messages import Peers
from sedgetide.coding.messages import PlaceVerdict
from sedgetide.coding.messages import Quarantined
from sedgetide.coding.messages import StoreFeed
from sedgetide.coding.messages import TrialVerdict
from sedgetide.coding.settings import HostSettings
from sedgetide.core.history import FIRST_ERA
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.evacuations import Evacuations
from sedgetide.core.membership.leadercontacts import LeaderContacts
from sedgetide.core.membership.lenders import HostStatus
from sedgetide.core.membership.lenders import LendingHost
from sedgetide.core.membership.partitions import PartitionDetector
from sedgetide.core.ownership.leadership import LeaderRecord
from sedgetide.core.ownership.leadership import Leadership
from sedgetide.core.requests.bodylimits import make_body_memory
from sedgetide.core.requests.connectionlimits import find_connection_limit
from sedgetide.core.requests.forwarding import PeerPool
from sedgetide.core.requests.retries import RetryPolicy
from sedgetide.daemons._admin import make_application
from sedgetide.daemons._admin import start_admin
from sedgetide.daemons._closurelog import ClosureLog
from sedgetide.daemons._crashdetector import CrashDetector
from sedgetide.daemons._deployment import ColdTolerance
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._election import Election
from sedgetide.daemons._feed import FeedReceiver
from sedgetide.daemons._forwarder import Forwarder
from sedgetide.daemons._forwardserver import ForwardServer
from sedgetide.daemons._hostmetrics import BODY_BYTES_IN_HAND
from sedgetide.daemons._hostmetrics import CALLER_CONNECTIONS
from sedgetide.daemons._hostmetrics import DEEP_CONNECTIONS
from sedgetide.daemons._hostmetrics import EVACUATED
from sedgetide.daemons._hostmetrics import LEADERS_FOUND
from sedgetide.daemons._hostmetrics import LEADING
from sedgetide.daemons._hostmetrics import POLICY_VERSION
from sedgetide.daemons._hostmetrics import REQUESTS_IN_HAND
from sedgetide.daemons._hostmetrics import STORE_ERA
from sedgetide.daemons._hostmetrics import STORE_SILENCE_SECONDS
from sedgetide.daemons._hostmetrics import UNREADABLE_ERAS
from sedgetide.daemons._hostmetrics import UPSTREAMS
from sedgetide.daemons._inspection import Inspectable
from sedgetide.daemons._instrumentedstore import InstrumentedStore
from sedgetide.daemons._leader import Leader
from sedgetide.daemons._loadreporter import LoadMeter
from sedgetide.daemons._loadreporter import LoadReporter
from sedgetide.daemons._loopmonitor import LoopMonitor
from sedgetide.daemons._pathmonitor import PathMonitor
from sedgetide.daemons._places import Places
from sedgetide.daemons._process import make_incarnation
from sedgetide.daemons._process import read_settings
from sedgetide.daemons._quarantine import SharedQuarantine
from sedgetide.daemons._requestrouter import RequestRouter
from sedgetide.daemons._storewatcher import StoreWatcher
from sedgetide.daemons._trials import Trials
from sedgetide.daemons._upstreamchannels import UpstreamChannels
from sedgetide.links import Transport
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event
from sedgetide.runtime.sockets import open_listener
from sedgetide.runtime.tasks import spawn_vital
from sedgetide.wire.cutreads import dump_cut_reads
from sedgetide.wire.server import Server
from sedgetide.wire.skippedanswers import dump_skipped_answers

_MAX_LINK_BYTES = 1024 * 1024
_HOUSEKEEPING_INTERVAL = 0.2
_PRUNE_PERIOD = 10
# Seconds; hosts in contact exchange reports and feeds every second.
_IDLE_LINK_TIMEOUT = 30.0
_STOP_POLL_INTERVAL = 0.05
_EXIT_RESERVE = 0.25
# Seconds for sending the answers of the requests that end with the host.
_ANSWER_RESERVE = 0.1
# Hosts don't know of each other's retries. Each is limited to a share of its
# own requests, which adds up to that share of all requests even if hosts are
# partitioned. The remaining fifth is for hosts that have just started.
_RETRY_SHARE = 0.8
_MAX_NOTICE_SHARE = 0.49


class DeploymentAdapter(msgspec.Struct, frozen=True):
    """Interfaces that adapt a host to the protocols of a deployment.

    Parameters
    ----------
    requests : RequestDialect
        Translates headers of requests and answers.
    orders : OrderDialect
        Encodes grants and releases.
    registry : RegistryDialect
        Decodes registry entries and routes.
    open_store : callable
        Returns a client of the store at an address. The client notifies the
        given tracker of the eras of its answers.
    readiness_path : str
        Path of the readiness probe of the load balancer.
    """

    requests: RequestDialect
    orders: OrderDialect
    registry: RegistryDialect
    open_store: Callable[[str, EraTracker], LeaseStore]
    readiness_path: str


class Host(Inspectable):
    """One host: request router, state of the deployment, and leader task.

    Parameters
    ----------
    settings : HostSettings
        Validated settings.
    adapter : DeploymentAdapter
        Interfaces to the protocols of the deployment.
    """

    def __init__(
        self, settings: HostSettings, adapter: DeploymentAdapter
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._stopping = False
        self.incarnation = make_incarnation()
        self._eras = EraTracker()
        self._deployment = DeploymentState(
            adapter.registry,
            Evacuations(settings.evacuate_ms / 1000.0),
            ColdTolerance(settings.cold_overrun, settings.cold_slack),
        )
        self._eras.subscribe(
            lambda era: self._deployment.note_era(era, read_clock())
        )
        self._feed = FeedReceiver(self._deployment, self._eras)
        memory = make_body_memory(settings.memory_mb)
        self._channels = UpstreamChannels(
            settings.limits.body_bytes, memory.answers
        )
        self._paths = PathMonitor(self._deployment.directory, self._channels)
        self._meter = LoadMeter()
        self._loop_monitor = LoopMonitor()
        self._partitions = PartitionDetector(settings.data_centre)
        self._withdrawn = False
        self._leader_contacts = LeaderContacts(LinkAddress(settings.link))
        self._transport = Transport(
            settings.link,
            _MAX_LINK_BYTES,
            self._handle_message,
            self._drop_message,
        )
        self._places = Places(
            LinkAddress(settings.link),
            self._deployment,
            self._transport.send,
            random.Random(self.incarnation),
        )
        self._quarantine = SharedQuarantine(
            self._deployment.quarantine,
            LinkAddress(settings.link),
            self.find_leader_link,
            self._transport.send,
        )
        self._trials = Trials(
            LinkAddress(settings.link),
            self._quarantine,
            self.find_leader_link,
            self._transport.send,
            random.Random(self.incarnation),
        )
        self._forwarder = Forwarder(
            settings.host_name,
            self._deployment,
            PeerPool(
                DataCentre(settings.data_centre),
                random.Random(self.incarnation),
            ),
            settings.limits.body_bytes,
            memory.answers,
        )
        self._crash_detector = CrashDetector(
            self._deployment.directory,
            self._quarantine.note_upstream_end,
            self._paths,
        )
        self._router = RequestRouter(
            self._deployment,
            adapter.requests,
            self._channels,
            self._places,
            self._meter,
            settings.data_centre,
            self._partitions,
            self._crash_detector,
            self._paths,
            self._forwarder,
            self._quarantine,
            self._trials,
            RetryPolicy(
                settings.retry_ratio * _RETRY_SHARE, settings.retry_slack
            ),
            random.Random(settings.host),
        )
        self._closures = ClosureLog()
        self._server = Server(
            self._router.serve,
            self._router.is_idempotent,
            self._router.read_limits,
            memory.requests,
            self._router.note_body_refusal,
            functools.partial(self._closures.record, "callers"),
            max_connections=find_connection_limit(_count_descriptors()),
        )
        self._forward_server = ForwardServer(
            self._router.serve_forwarded,
            self._router.read_limits,
            memory.requests,
            functools.partial(self._closures.record, "hosts"),
        )
        self._leader = self._make_leader()
        self._bind_gauges()

    def _bind_gauges(self) -> None:
        deployment = self._deployment
        REQUESTS_IN_HAND.set_function(lambda: self._server.in_hand)
        BODY_BYTES_IN_HAND.set_function(lambda: self._server.bodies.held)
        CALLER_CONNECTIONS.set_function(lambda: len(self._server.connections))
        DEEP_CONNECTIONS.set_function(self._server.count_deep)
        STORE_SILENCE_SECONDS.set_function(
            lambda: read_clock() - deployment.heard_at
        )
        STORE_ERA.set_function(lambda: float(self._eras.newest or FIRST_ERA))
        UNREADABLE_ERAS.set_function(lambda: float(self._eras.refused))
        POLICY_VERSION.set_function(
            lambda: (
                0 if deployment.policy is None else deployment.policy.version
            )
        )
        UPSTREAMS.set_function(lambda: len(deployment.directory.list_all()))
        EVACUATED.set_function(
            lambda: len(deployment.directory.evacuations.list_evacuating())
        )
        LEADING.set_function(lambda: float(self._leader.leading))

    def _open_store(self) -> LeaseStore:
        return InstrumentedStore(
            self._adapter.open_store(self._settings.stores[0], self._eras)
        )

    def _make_leader(self) -> Leader:
        durations = self._settings.fit_durations()
        leadership = Leadership(durations)
        self._eras.subscribe(leadership.note_era)
        record = LeaderRecord(
            self._settings.host_name,
            self.incarnation,
            LinkAddress(self._settings.link),
        )
        election = Election(
            self._open_store(),
            record,
            leadership,
            self._deployment,
            durations,
            self._settings.capacity,
            self._paths.find_lost_share,
        )
        return Leader(
            self._open_store(),
            self._deployment,
            self._adapter.orders,
            election,
            leadership,
            durations,
            self._transport.send,
            LendingHost(record.link, DataCentre(self._settings.data_centre)),
            self._paths,
        )

    def start(self, stack: contextlib.ExitStack) -> None:
        """Start the listeners and all tasks; the stack stops them."""
        self._start_admin(stack)
        stack.callback(self._channels.close)
        stack.callback(self._forwarder.close)
        stack.callback(self._transport.close)
        self._transport.start()
        for prefix in self._adapter.registry.list_prefixes():
            watcher = StoreWatcher(
                self._open_store(),
                prefix,
                self._deployment,
                self._is_fed,
                lambda: self._leader.leading,
            )
            watcher.start(stack)
        self._leader.start(stack)
        LoadReporter(self._meter, self).start(stack)
        spawn_vital(self._housekeeping_loop, stack)
        self._loop_monitor.start(stack)
        if self._settings.forward_address is not None:
            self._forward_server.start(self._settings.forward_address, stack)
        stack.callback(self._server.stop_accepting)
        self._server.start(
            open_listener(*split_address(self._settings.listen))
        )

    def _start_admin(self, stack: contextlib.ExitStack) -> None:
        application = make_application(self, self._adapter.readiness_path)
        addresses = {
            self._settings.ready: "ready",
            self._settings.admin: "admin",
        }
        for address, listener in addresses.items():
            note_closure = functools.partial(self._closures.record, listener)
            start_admin(address, application, stack, note_closure)

    def _housekeeping_loop(self) -> None:
        for iteration in itertools.count():
            gevent.sleep(_HOUSEKEEPING_INTERVAL)
            now = read_clock()
            self._update_partition(now)
            self._paths.run_periodic(now)
            self._places.run_periodic(now)
            self._crash_detector.run_periodic(now)
            self._quarantine.run_periodic(now)
            self._trials.run_periodic(now)
            self._deployment.apply_pending_evacuations(now)
            if self._deployment.directory.expire(now):
                self._deployment.changes.notify_all()
            if iteration % _PRUNE_PERIOD == 0:
                self._prune_connections()

    def _prune_connections(self) -> None:
        """Close connections that have ended, or are idle for too long."""
        entries = self._deployment.directory.list_all()
        self._channels.prune({entry.name for entry in entries})
        self._transport.close_unused(_IDLE_LINK_TIMEOUT)
        self._forwarder.prune()
        self._server.close_expired(read_clock())

    def _update_partition(self, now: float) -> None:
        """Withdraw from the load balancer while this host is partitioned."""
        withdrawn = self._partitions.should_withdraw(
            self._deployment.heard_at,
            now,
            self._paths.is_cut_off_from_others(
                DataCentre(self._settings.data_centre)
            ),
        )
        if withdrawn != self._withdrawn:
            self._withdrawn = withdrawn
            silence = now - self._deployment.heard_at
            event = Event.CUT_OFF if withdrawn else Event.REJOINED
            log_event(event, silence=f"{silence:.1f}")
        self._server.close_after_answer = withdrawn or self._stopping

    # Links

    def _handle_message(self, message: AnyMessage, sender: str) -> None:
        if isinstance(message, LoadReport):
            self._handle_report(message, LinkAddress(sender))
        elif isinstance(message, StoreFeed):
            self._feed.handle_feed(message, read_clock())
        elif isinstance(message, HoldsReport):
            link = LinkAddress(sender)
            self._leader.handle_holds(message, link, read_clock())
        elif isinstance(message, LeaderNotice):
            self._handle_leader_notice(message)
        elif isinstance(message, Moved):
            self._handle_moved(message, read_clock())
        elif isinstance(message, Lenders | Peers):
            self._handle_named(message)
        elif isinstance(message, Quarantined):
            self._quarantine.handle_message(
                message, LinkAddress(sender), read_clock()
            )
        elif isinstance(message, AskPlace | EndPlace | PlaceVerdict):
            self._places.handle_message(message, LinkAddress(sender))
        elif isinstance(message, AskTrial | EndTrial | TrialVerdict):
            self._trials.handle_message(message, LinkAddress(sender))

    def _handle_named(self, message: Lenders | Peers) -> None:
        if isinstance(message, Lenders):
            self._deployment.set_lenders(message.named)
        else:
            self._deployment.set_peers(message.named)

    def _handle_moved(self, message: Moved, now: float) -> None:
        hold_ends = {each.move: now + each.seconds for each in message.held}
        self._deployment.note_holds(message.service, hold_ends)
        self._deployment.complete_moves(
            message.service, message.list_completed(), now
        )

    def _handle_report(self, report: LoadReport, link: LinkAddress) -> None:
        now = read_clock()
        if report.leader is not None:
            self._answer_leader_question(report.leader, link)
            return
        self._quarantine.note_report(link, report.standing.quarantine, now)
        self._leader.note_report(report, link, now)

    def _answer_leader_question(
        self, known: Position, link: LinkAddress
    ) -> None:
        """Tell a host that has lost contact who leads, if that is news."""
        leader = self._deployment.leader
        if leader is not None and leader.position > known:
            self._transport.send(
                link, LeaderNotice(leader.record, leader.position)
            )

    def _handle_leader_notice(self, notice: LeaderNotice) -> None:
        if self._deployment.note_leader(notice.record, notice.position):
            LEADERS_FOUND.inc()

    def _drop_message(self, message: Message) -> None:
        """Ignore a message that wasn't sent; the next load report suffices."""

    def _is_fed(self) -> bool:
        return not self._leader.leading and self._feed.is_fresh(read_clock())

    def find_position(self) -> Position:
        return self._deployment.as_of

    def find_leader_link(self) -> LinkAddress | None:
        leader = self._deployment.leader
        return None if leader is None else leader.record.link

    def find_contact(self) -> LinkAddress | None:
        lenders = self._deployment.lenders.hosts
        return self._leader_contacts.choose(
            [each.link for each in lenders],
            self.find_leader_link(),
            self._deployment.heard_at,
            read_clock(),
        )

    def ask_leader(self, contact: LinkAddress) -> None:
        leader = self._deployment.leader
        known = NO_POSITION if leader is None else leader.position
        # Hosts of an earlier version treat the question as a report.
        question = LoadReport(
            [], [], self.find_position(), self._make_status(), leader=known
        )
        self._transport.send(contact, question)

    def send_report(self, link: LinkAddress, report: LoadReport) -> None:
        report.standing = self._make_status()
        report.leaving = self._deployment.directory.list_announced()
        report.limits = self._places.list_limits(read_clock())
        report.former_leader = self._deployment.former_leader
        report.read_leader = self._deployment.read_leader
        if link == self._settings.link:
            self._leader.note_report(report, None, read_clock())
        else:
            self._transport.send(link, report)

    def _make_status(self) -> HostStatus:
        capacity = self._settings.capacity
        return HostStatus(
            DataCentre(self._settings.data_centre),
            0.0 if self._stopping else capacity.processors,
            self._deployment.lenders.version,
            self._deployment.quarantine.version,
            capacity.link_mbps,
            short_moves=True,
            forward_port=self._find_forward_port(),
            peers=self._deployment.peers.version,
            lost=self._paths.list_lost(),
        )

    def _find_forward_port(self) -> int:
        """Return the port for requests of other hosts; 0 for none."""
        address = self._settings.forward_address
        return 0 if address is None else split_address(address)[1]

    # Admin

    def is_ready(self) -> bool:
        unready = self._stopping or self._withdrawn
        return self._deployment.can_route and not unready

    def lift_quarantine(self, fingerprint: Fingerprint) -> bool:
        return self._quarantine.lift(fingerprint, read_clock())

    def dump_state(self) -> dict[str, Any]:
        return {
            "host": self._settings.host,
            "in_hand": self._server.in_hand,
            "connections": len(self._server.connections),
            "closed_connections": self._closures.dump_state(),
            "store_era": self._eras.newest,
            "knowledge": self._deployment.dump_state(),
            "leader": self._leader.dump_state(),
            "loop": self._loop_monitor.dump_state(),
            "paths": self._paths.dump_state(),
            "peers": msgspec.to_builtins(self._deployment.peers.peers),
            "received": self._forward_server.in_progress,
            "cut_reads": dump_cut_reads(),
            "skipped_answers": dump_skipped_answers(),
            "lent_places": self._places.dump_state(read_clock()),
            "traffic": msgspec.to_builtins(self._transport.traffic),
        }

    # Stop

    def stop(self) -> None:
        """Drain: stop accepting requests and finish those in progress.

        At first requests are still served, with ``Connection: close`` in the
        answers, until the load balancer has noticed. Then no connection is
        accepted any more: a later request could exceed the grace period and
        be aborted when the process ends, while its upstream works on it.

        A request that can't be answered in time is refused as soon as that is
        known. At the end all others get an answer as well: callers may repeat
        a refused request, but not one whose connection was closed.

        All times count from the signal. The lead is given up meanwhile, which
        takes until a timeout if the store doesn't answer.
        """
        began = read_clock()
        self._stopping = True
        log_event(
            Event.STOPPING,
            in_hand=self._server.in_hand,
            connections=len(self._server.connections),
        )
        last = began + self._settings.grace - _EXIT_RESERVE
        self._router.begin_stop(last - _ANSWER_RESERVE)
        self._server.begin_stop()
        self._forward_server.begin_stop()
        resigning = gevent.spawn(self._leader.resign)
        longest = self._settings.grace * _MAX_NOTICE_SHARE
        notice = min(self._settings.limits.drain_notice, longest)
        self._wait_until(began + notice)
        self._server.stop_accepting()
        self._server.close_idle()
        self._drain(last - _ANSWER_RESERVE)
        self._router.end_requests()
        self._drain(last)
        resigning.join(max(0.0, last - read_clock()))
        self._router.log_unfinished()
        log_event(
            Event.STOPPED,
            in_hand=self._server.in_hand,
            seconds=f"{read_clock() - began:.1f}",
        )

    def _drain(self, end: float) -> None:
        """Wait until a time, or until no request is in progress."""
        while read_clock() < end and self._has_work():
            self._server.close_idle()
            gevent.sleep(_STOP_POLL_INTERVAL)

    def _has_work(self) -> bool:
        """Return whether callers or other hosts still wait for answers."""
        in_progress = self._forward_server.in_progress
        return bool(self._server.connections) or in_progress > 0

    def _wait_until(self, end: float) -> None:
        while read_clock() < end:
            gevent.sleep(_STOP_POLL_INTERVAL)


def _count_descriptors() -> int:
    """Return how many descriptors this process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else sys.maxsize


def main(arguments: list[str] | None, adapter: DeploymentAdapter) -> int:
    """Run a host until SIGTERM or SIGINT.

    Parameters
    ----------
    arguments : list of str or None
        Command line, which names the settings file.
    adapter : DeploymentAdapter
        Interfaces to the protocols of the deployment.
    """
    settings = read_settings(
        "sedgetide-host", __doc__, HostSettings, arguments
    )
    stopped = StopEvent()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    gevent.signal_handler(signal.SIGHUP, _note_reload)
    with contextlib.ExitStack() as stack:
        host = Host(settings, adapter)
        host.start(stack)
        log_event(
            Event.STARTED,
            listen=settings.listen,
            incarnation=host.incarnation,
        )
        stopped.wait()
        host.stop()
    return 0


def _note_reload() -> None:
    """Log that settings can't be reloaded in a running process."""
    log_event(Event.RELOAD)
