"""What the store told the leader, passed on to the hosts that report to it.

A watch of each host costs a call of the store for each event and host. So
hosts that hear from the leader leave theirs out, and begin it again as soon
as they have not heard for a second. The feed carries versions, never
beliefs: whoever sends it, a host can not be led back, neither within an era
of the store nor to an earlier one.
"""

from collections.abc import Callable

import msgspec

from sedgetide.backends.eras import EraTracker
from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import Listing
from sedgetide.coding.messages import Patch
from sedgetide.coding.messages import StoreFeed
from sedgetide.core.history import NO_POSITION
from sedgetide.core.history import Position
from sedgetide.core.identifiers import LinkAddress
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.daemons._itempatches import apply_patch
from sedgetide.daemons._itempatches import PatchCache

FEED_TIMEOUT = 1.0
_SUBSCRIBER_TIMEOUT = 3.0
# Older knowledge is no better than what the host could ask for itself.
_MAX_AGE = 4.0
FEED_ENDED_AGE = 1e9
# One copy for each of many hosts would keep the leader's link busy.
_LARGE_ITEM_BYTES = 32 * 1024
# Who has not read one from the store by then is turned away there.
_STORE_READ_TIME = 1.0
_LARGE_ITEM_INTERVAL = 0.2


class _Subscriber(msgspec.Struct):
    heard_at: float
    position: Position


def _has_large_item(items: list[Item]) -> bool:
    """Tell whether items are too large to be sent to every host.

    A large policy for each of ninety hosts keeps the leader's link busy
    for seconds, and grants and news wait behind it. The store has a link
    for that, and each host reads it there once.
    """
    return any(len(item.value or b"") > _LARGE_ITEM_BYTES for item in items)


class FeedPublisher:
    """The leader's side.

    Parameters
    ----------
    knowledge : DeploymentState
        What is passed on.
    send : callable
        Sends a message to a host.
    """

    def __init__(
        self,
        deployment: DeploymentState,
        send: Callable[[LinkAddress, StoreFeed], None],
    ) -> None:
        self._deployment = deployment
        self._send = send
        self._subscribers: dict[LinkAddress, _Subscriber] = {}
        self._patch_cache = PatchCache()
        self._referred_at: dict[LinkAddress, float] = {}
        self._behind_since: dict[LinkAddress, float] = {}
        self._large_at = float("-inf")

    def note_report(
        self, link: LinkAddress, position: Position, now: float
    ) -> None:
        """Take in how far a host is, and tell it what is newer."""
        self._subscribers[link] = _Subscriber(now, position)
        self._update_subscriber(link, self._subscribers[link], now)

    def announce_era(
        self, link: LinkAddress, position: Position, now: float
    ) -> None:
        """Tell a host that reports to a former leader of the era it missed.

        The store turns it away, else it would have listed it by then; it
        learns from nobody else who leads now.
        """
        if position.era >= self._deployment.as_of.era:
            self._behind_since.pop(link, None)
            return
        since = self._behind_since.setdefault(link, now)
        if now - since >= _STORE_READ_TIME:
            subscriber = _Subscriber(now, NO_POSITION)
            items = self._deployment.list_present()
            self._send_feed(link, subscriber, items, [], now)

    def publish(self, now: float) -> None:
        """Tell all hosts what has come since they were told last."""
        for link, subscriber in list(self._subscribers.items()):
            if now - subscriber.heard_at > _SUBSCRIBER_TIMEOUT:
                del self._subscribers[link]
                self._referred_at.pop(link, None)
            elif subscriber.position < self._deployment.as_of:
                self._update_subscriber(link, subscriber, now)

    def _update_subscriber(
        self, link: LinkAddress, subscriber: _Subscriber, now: float
    ) -> None:
        known = subscriber.position
        if known.era > self._deployment.as_of.era:
            return
        if known.era < self._deployment.as_of.era:
            self._send_full_state(link, subscriber, now)
            return
        items = self._deployment.list_newer(known)
        if items is None:
            # It is too far behind; without the feed it lists the store.
            return
        if _has_large_item(items) and not self._may_send_large(link, now):
            return
        whole, patches = self._split_patches(items, known)
        self._send_feed(link, subscriber, whole, patches, now)

    def _send_full_state(
        self, link: LinkAddress, subscriber: _Subscriber, now: float
    ) -> None:
        """Tell a host that knows an earlier era all there is in this one."""
        if self._may_send_large(link, now):
            subscriber.position = NO_POSITION
            items = self._deployment.list_present()
            self._send_feed(link, subscriber, items, [], now)

    def _send_feed(
        self,
        link: LinkAddress,
        subscriber: _Subscriber,
        whole: list[Item],
        patches: list[Patch],
        now: float,
    ) -> None:
        age = now - self._deployment.heard_at
        if age > _MAX_AGE:
            return
        distrust_seconds = self._deployment.directory.find_outage_grace(now)
        as_of = self._deployment.as_of
        message = StoreFeed(
            subscriber.position,
            as_of,
            age,
            distrust_seconds,
            whole,
            self._count_hosts(),
            patches,
        )
        self._send(link, message)
        subscriber.position = as_of
        self._referred_at.pop(link, None)

    def _may_send_large(self, link: LinkAddress, now: float) -> bool:
        """Tell whether a host gets a large item from here after all.

        It is sent to the store first. A host that is still behind some
        time later can not read there: the store turns it away, and without
        the large item it would get no other news either. Those get it one
        after the other.
        """
        referred_at = self._referred_at.setdefault(link, now)
        if referred_at == now:
            self._refer_to_store(link)
            return False
        if (
            now - referred_at < _STORE_READ_TIME
            or now - self._large_at < _LARGE_ITEM_INTERVAL
        ):
            return False
        self._large_at = now
        return True

    def _split_patches(
        self, items: list[Item], known: Position
    ) -> tuple[list[Item], list[Patch]]:
        """Return what is sent whole, and what as a patch."""
        whole = []
        patches = []
        for item in items:
            self._patch_cache.note(item)
            patch = self._patch_cache.find(item, known)
            if patch is None:
                whole.append(item)
            else:
                patches.append(patch)
        return whole, patches

    def _count_hosts(self) -> int:
        """Return how many hosts there are, and remember it."""
        hosts = len(self._subscribers) + 1
        self._deployment.update_host_count(hosts)
        return hosts

    def _refer_to_store(self, link: LinkAddress) -> None:
        as_of = self._deployment.as_of
        self._send(link, StoreFeed(as_of, as_of, FEED_ENDED_AGE, 0.0, []))

    def list_links(self, now: float) -> list[LinkAddress]:
        """Return the hosts that reported lately."""
        return [
            link
            for link, subscriber in self._subscribers.items()
            if now - subscriber.heard_at <= _SUBSCRIBER_TIMEOUT
        ]

    def end(self) -> None:
        """Have all hosts follow the store themselves again."""
        for link in self._subscribers:
            self._refer_to_store(link)
        self._subscribers.clear()
        self._referred_at.clear()


class FeedReceiver:
    """A host's side.

    Parameters
    ----------
    knowledge : DeploymentState
        What is kept up to date.
    eras : EraTracker
        Told of eras that the leader has heard of.
    """

    def __init__(self, deployment: DeploymentState, eras: EraTracker) -> None:
        self._deployment = deployment
        self._eras = eras
        self._fresh_at = float("-inf")

    def handle_feed(self, message: StoreFeed, now: float) -> None:
        """Take in what the leader passed on."""
        if message.hosts:
            self._deployment.update_host_count(message.hosts)
        if message.age > _MAX_AGE:
            self._fresh_at = float("-inf")
            return
        if not self._is_contiguous(message):
            return
        self._eras.note(message.as_of.era)
        patched = self._apply_patches(message.patches)
        if patched is None:
            # It has another version than the leader thinks: ask the store.
            self._fresh_at = float("-inf")
            return
        if message.distrust_seconds > 0:
            self._deployment.directory.note_registry_outage(
                now, message.distrust_seconds
            )
        items = [*message.items, *patched]
        if message.as_of.era > self._deployment.as_of.era:
            listing = Listing(items, message.as_of)
            self._deployment.apply_listing(listing, now)
        else:
            self._deployment.apply_items(items, now)
        self._deployment.record_sync(message.as_of, now - message.age)
        self._fresh_at = now

    def _is_contiguous(self, message: StoreFeed) -> bool:
        """Tell whether nothing is missing between a message and before.

        One may have been lost, and a leader may not have heard yet that its
        era is over. Of a later era all that there is has to be told first.
        """
        known = self._deployment.as_of
        if message.as_of.era != known.era:
            later = message.as_of.era > known.era
            return later and message.since == NO_POSITION
        return message.since <= known

    def _apply_patches(self, patches: list[Patch]) -> list[Item] | None:
        """Return the patched items; None when one does not fit."""
        patched = []
        for patch in patches:
            base = self._deployment.find_item(patch.key)
            if base is not None and base.position >= patch.position:
                continue
            item = apply_patch(base, patch)
            if item is None:
                return None
            patched.append(item)
        return patched

    def is_fresh(self, now: float) -> bool:
        """Tell whether the own watch can be left out."""
        return now - self._fresh_at < FEED_TIMEOUT
