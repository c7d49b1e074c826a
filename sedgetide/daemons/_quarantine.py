"""The quarantine of a host, kept like that of all others.

What a host sees goes to the leader at once, and from there to all hosts that
report to it. With each report a host names the version that it holds, so
what was lost on the way, or learnt while the two could not talk, is made up
for within two reports. Hosts relay whether they lead or not: while the store
is away nobody may, and the chain of losses goes on all the same.
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

# Seconds; hosts report each 0.4 s.
_REPORTER_LIFE = 3.0
# Seconds between two corrections of one host, and between two words to all.
# Copies that differ for good, as where one has no room left, would otherwise
# go to and fro without a pause. Where many upstreams end, or copies meet
# after a cut, a word to all with each merge is more than a link carries: they
# wait in the leader's memory until the process is ended for its size.
_CORRECTED_EVERY = 0.3
# Bytes a second that one host sends of it: an eighth of a link of 200 Mbit/s.
_MOST_SENT = 3_000_000


class SharedQuarantine:
    """Asks the quarantine, feeds it, and keeps it like the others'.

    Parameters
    ----------
    quarantine : Quarantine
        The own copy.
    own : LinkAddress
        Where this host takes messages.
    find_leader_link : callable
        Returns where the leader takes reports; None when unknown.
    send : callable
        Sends a message to a host.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        own: LinkAddress,
        find_leader_link: Callable[[], LinkAddress | None],
        send: Callable[[LinkAddress, Message], None],
    ) -> None:
        self._quarantine = quarantine
        self._own = own
        self._find_leader_link = find_leader_link
        self._send = send
        self._reporters: dict[LinkAddress, float] = {}
        self._corrected: dict[LinkAddress, float] = {}
        self._spread_at = float("-inf")
        self._pause = _CORRECTED_EVERY
        self._unsaid = False
        self._told: set[Fingerprint] = set()

    # For requests

    def find_stay_left(self, job: RequestContext, now: float) -> float:
        """Return for how many seconds a request is refused still."""
        if self._quarantine.idle:
            return 0.0
        return self._quarantine.find_stay_left(job.find_fingerprint(), now)

    def is_suspect(self, job: RequestContext) -> bool:
        """Tell whether upstreams have ended under a request."""
        if self._quarantine.idle:
            return False
        return self._quarantine.is_suspect(job.find_fingerprint())

    def is_strong_suspect(self, fingerprint: Fingerprint) -> bool:
        """Tell whether one more loss may decide about a request."""
        return self._quarantine.is_strong_suspect(fingerprint)

    def may_retry(self, job: RequestContext) -> bool:
        """Tell whether a request may be sent again by the host itself."""
        if self._quarantine.idle:
            return True
        return self._quarantine.may_retry(job.find_fingerprint())

    def note_end(self, job: RequestContext, now: float) -> None:
        """Take in that a request has ended well."""
        if not self._quarantine.idle:
            self.clear(job.find_fingerprint(), now)

    def clear(self, fingerprint: Fingerprint, now: float) -> bool:
        """Drop what speaks against a request; return whether that was news."""
        news = self._quarantine.note_end(fingerprint, now)
        if news:
            self._spread(now)
        return news

    def note_upstream_end(self, ended: EndedUpstream, now: float) -> None:
        """Take in that an upstream ended, with what it had."""
        suspects = [run.fingerprint for run in ended.runs]
        alone = [run.fingerprint for run in ended.runs if run.alone]
        if self._quarantine.note_loss(
            ended.upstream, suspects, ended.at, now, alone
        ):
            self._spread(now)

    def lift(self, fingerprint: Fingerprint, now: float) -> bool:
        """Let a request through; return whether it was suspected."""
        lifted = self.clear(fingerprint, now)
        if lifted:
            log_event(Event.QUARANTINE_LIFTED, fingerprint=fingerprint)
        return lifted

    # Copies on other hosts

    def note_report(
        self, sender: LinkAddress, version: int, now: float
    ) -> None:
        """Take in which version a host holds that reports here."""
        self._reporters[sender] = now
        if version != self._quarantine.version:
            self._correct(sender, now)

    def take(
        self, message: Quarantined, sender: LinkAddress, now: float
    ) -> None:
        """Take in what another host holds."""
        if self._quarantine.merge(message.report, now):
            self._spread(now, but=sender)
        if message.version != self._quarantine.version:
            self._correct(sender, now)

    def run_periodic(self, now: float) -> None:
        """Forget what is over, and tell of what began or ended."""
        self._quarantine.expire(now)
        for links in (self._reporters, self._corrected):
            for link, at in list(links.items()):
                if now - at > _REPORTER_LIFE:
                    del links[link]
        self._tell_changes(now)
        if self._unsaid:
            self._spread(now)

    def _correct(self, link: LinkAddress, now: float) -> None:
        last = self._corrected.get(link, float("-inf"))
        if now - last >= self._pause:
            self._corrected[link] = now
            self._send(link, self._make_message(now))

    def _spread(self, now: float, but: LinkAddress | None = None) -> None:
        """Tell the leader, and whoever takes this host for the leader.

        The first word leaves at once, those that follow together.
        """
        self._tell_changes(now)
        self._unsaid = now - self._spread_at < self._pause
        if self._unsaid:
            return
        self._spread_at = now
        links = set(self._reporters)
        leader = self._find_leader_link()
        if leader is not None:
            links.add(leader)
        links -= {self._own, but}
        message = self._make_message(now)
        size = len(msgspec.msgpack.encode(message.report))
        self._pause = max(_CORRECTED_EVERY, size * len(links) / _MOST_SENT)
        for link in links:
            self._send(link, message)

    def _make_message(self, now: float) -> Quarantined:
        quarantine = self._quarantine
        return Quarantined(quarantine.version, quarantine.report(now))

    def _tell_changes(self, now: float) -> None:
        stays = {
            each.fingerprint: each for each in self._quarantine.list_stays(now)
        }
        for fingerprint in stays.keys() - self._told:
            log_event(
                Event.QUARANTINED,
                fingerprint=fingerprint,
                stay=stays[fingerprint].number,
                seconds=int(stays[fingerprint].until - now),
            )
        for fingerprint in self._told - stays.keys():
            log_event(Event.QUARANTINE_ENDED, fingerprint=fingerprint)
        self._told = set(stays)
        QUARANTINED.set(len(stays))
