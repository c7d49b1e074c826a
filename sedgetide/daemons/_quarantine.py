"""Replicates the quarantine between all hosts.

A host sends each change to the leader at once, and the leader forwards it to
all hosts that report to it. Each report names the version of the sender's
copy, so changes that were lost, or made while the two were disconnected, are
exchanged within two reports. Hosts forward changes whether they lead or not:
while the store is unavailable no host may lead, but requests continue to crash
upstreams.
"""

from collections.abc import Callable

import msgspec

from sedgetide.coding.messages import Message
from sedgetide.coding.messages import Quarantined
from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.requests.brokenruns import EndedUpstream
from sedgetide.core.requests.quarantine import Quarantine
from sedgetide.daemons._hostmetrics import QUARANTINED
from sedgetide.daemons._requestcontext import RequestContext
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

# Seconds after its last report for which a host gets broadcasts; hosts report
# every 0.4 s.
_REPORTER_TTL = 3.0
# Minimum seconds between copies sent to one host, and between broadcasts.
# Copies that differ permanently, for example because one is full, would
# otherwise be exchanged without a pause. When many upstreams end, or a network
# partition heals, a broadcast for each merge exceeds the capacity of a link:
# the messages queue up in the leader's memory until its process is killed.
_MIN_SEND_INTERVAL = 0.3
# Bytes a second that a host sends of its quarantine: an eighth of a link of
# 200 Mbit/s.
_MAX_SEND_RATE = 3_000_000


class SharedQuarantine:
    """A host's copy of the quarantine, synchronized with those of others.

    A request that crashed several upstreams is quarantined: all hosts refuse
    it for some time, its stay.

    Parameters
    ----------
    quarantine : Quarantine
        Copy of this host.
    own_link : LinkAddress
        Link address of this host.
    find_leader_link : callable
        Returns the link address of the leader; None when unknown.
    send : callable
        Sends a message to a host.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        own_link: LinkAddress,
        find_leader_link: Callable[[], LinkAddress | None],
        send: Callable[[LinkAddress, Message], None],
    ) -> None:
        self._quarantine = quarantine
        self._own_link = own_link
        self._find_leader_link = find_leader_link
        self._send = send
        self._reporters: dict[LinkAddress, float] = {}
        self._copies_sent_at: dict[LinkAddress, float] = {}
        self._broadcast_at = float("-inf")
        self._send_interval = _MIN_SEND_INTERVAL
        self._broadcast_pending = False
        self._logged: set[Fingerprint] = set()

    # For requests

    def find_stay_left(self, context: RequestContext, now: float) -> float:
        """Return for how many more seconds a request is refused."""
        if self._quarantine.idle:
            return 0.0
        return self._quarantine.find_stay_left(context.find_fingerprint(), now)

    def is_suspect(self, context: RequestContext) -> bool:
        """Return whether upstreams have ended while running a request."""
        if self._quarantine.idle:
            return False
        return self._quarantine.is_suspect(context.find_fingerprint())

    def is_strong_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether one more loss may quarantine a request."""
        return self._quarantine.is_strong_suspect(fingerprint)

    def may_retry(self, context: RequestContext) -> bool:
        """Return whether the host itself may retry a request."""
        if self._quarantine.idle:
            return True
        return self._quarantine.may_retry(context.find_fingerprint())

    def note_end(self, context: RequestContext, now: float) -> None:
        """Record that a request has ended well."""
        if not self._quarantine.idle:
            self.clear(context.find_fingerprint(), now)

    def clear(self, fingerprint: Fingerprint, now: float) -> bool:
        """Clear a request of suspicion; return whether it was suspect."""
        changed = self._quarantine.note_end(fingerprint, now)
        if changed:
            self._broadcast(now)
        return changed

    def note_upstream_end(self, ended: EndedUpstream, now: float) -> None:
        """Record the end of an upstream and the requests that it ran."""
        suspects = [run.fingerprint for run in ended.runs]
        alone = [run.fingerprint for run in ended.runs if run.alone]
        if self._quarantine.note_loss(
            ended.upstream, suspects, ended.at, now, alone
        ):
            self._broadcast(now)

    def lift(self, fingerprint: Fingerprint, now: float) -> bool:
        """Lift the quarantine of a request; return whether it was suspect."""
        lifted = self.clear(fingerprint, now)
        if lifted:
            log_event(Event.QUARANTINE_LIFTED, fingerprint=fingerprint)
        return lifted

    # Copies on other hosts

    def note_report(
        self, sender: LinkAddress, version: int, now: float
    ) -> None:
        """Record the version of the copy of a host that reports here."""
        self._reporters[sender] = now
        if version != self._quarantine.version:
            self._send_copy(sender, now)

    def handle_message(
        self, message: Quarantined, sender: LinkAddress, now: float
    ) -> None:
        """Merge the copy of another host."""
        if self._quarantine.merge(message.report, now):
            self._broadcast(now, exclude=sender)
        if message.version != self._quarantine.version:
            self._send_copy(sender, now)

    def run_periodic(self, now: float) -> None:
        """Drop expired entries and log which stays began or ended."""
        self._quarantine.expire(now)
        for links in (self._reporters, self._copies_sent_at):
            for link, at in list(links.items()):
                if now - at > _REPORTER_TTL:
                    del links[link]
        self._log_changes(now)
        if self._broadcast_pending:
            self._broadcast(now)

    def _send_copy(self, link: LinkAddress, now: float) -> None:
        last = self._copies_sent_at.get(link, float("-inf"))
        if now - last >= self._send_interval:
            self._copies_sent_at[link] = now
            self._send(link, self._make_message(now))

    def _broadcast(
        self, now: float, exclude: LinkAddress | None = None
    ) -> None:
        """Send a copy to the leader, and to all hosts that report here.

        The first broadcast is sent at once; changes that follow within the
        interval are sent together.
        """
        self._log_changes(now)
        self._broadcast_pending = (
            now - self._broadcast_at < self._send_interval
        )
        if self._broadcast_pending:
            return
        self._broadcast_at = now
        links = set(self._reporters)
        leader = self._find_leader_link()
        if leader is not None:
            links.add(leader)
        links -= {self._own_link, exclude}
        message = self._make_message(now)
        size = len(msgspec.msgpack.encode(message.report))
        self._send_interval = max(
            _MIN_SEND_INTERVAL, size * len(links) / _MAX_SEND_RATE
        )
        for link in links:
            self._send(link, message)

    def _make_message(self, now: float) -> Quarantined:
        quarantine = self._quarantine
        return Quarantined(quarantine.version, quarantine.report(now))

    def _log_changes(self, now: float) -> None:
        stays = {
            each.fingerprint: each for each in self._quarantine.list_stays(now)
        }
        for fingerprint in stays.keys() - self._logged:
            log_event(
                Event.QUARANTINED,
                fingerprint=fingerprint,
                stay=stays[fingerprint].number,
                seconds=int(stays[fingerprint].until - now),
            )
        for fingerprint in self._logged - stays.keys():
            log_event(Event.QUARANTINE_ENDED, fingerprint=fingerprint)
        self._logged = set(stays)
        QUARANTINED.set(len(stays))
