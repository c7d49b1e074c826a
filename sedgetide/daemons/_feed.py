"""Feed of store changes from the leader to the hosts that report to it.

If each host watched the store, each event would cost a call for each host.
Hosts that are fed by the leader therefore don't watch, and start again as soon
as they haven't received a message for a second. The feed consists of versioned
items only. Whoever sends it, it can't take a host back to an older version,
neither within an era of the store nor to an earlier one.
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
# Seconds; hosts don't rely on a leader whose state is older than this, as they
# can get state at least as recent from the store themselves.
_MAX_AGE = 4.0
# Seconds; an age above the maximum tells a host to watch the store itself.
FEED_ENDED_AGE = 1e9
# Sending a larger item to each of many hosts would saturate the leader's link.
_LARGE_ITEM_BYTES = 32 * 1024
# Seconds; a host that hasn't read an item from the store within this time is
# assumed to be refused by the store.
_STORE_READ_TIME = 1.0
_LARGE_ITEM_INTERVAL = 0.2


class _Subscriber(msgspec.Struct):
    heard_at: float
    position: Position


def _has_large_item(items: list[Item]) -> bool:
    """Return whether any item is too large to be sent to every host.

    Sending a large policy to ninety hosts would saturate the leader's link
    for seconds and delay grants and other changes. Each host can read it
    once from the store instead, whose link has the capacity for that.
    """
    return any(len(item.value or b"") > _LARGE_ITEM_BYTES for item in items)


class FeedPublisher:
    """Leader's side of the feed: sends changes to the other hosts.

    Parameters
    ----------
    deployment : DeploymentState
        State to publish.
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
        """Record a host's position and send it everything newer."""
        self._subscribers[link] = _Subscriber(now, position)
        self._update_subscriber(link, self._subscribers[link], now)

    def announce_era(
        self, link: LinkAddress, position: Position, now: float
    ) -> None:
        """Send the state of a new era to a host that hasn't listed the store.

        The host still reports to this former leader. If it hasn't listed the
        store in time, the store refuses it, and it can't learn of the new
        leader from anyone else.
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
        """Send all hosts the changes since their last message."""
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
            # The host is too far behind: without a feed it lists the store.
            return
        if _has_large_item(items) and not self._may_send_large(link, now):
            return
        whole, patches = self._split_patches(items, known)
        self._send_feed(link, subscriber, whole, patches, now)

    def _send_full_state(
        self, link: LinkAddress, subscriber: _Subscriber, now: float
    ) -> None:
        """Send everything in this era to a host of an earlier one."""
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
        """Return whether to send a large item to a host.

        The host is referred to the store first. If it is still behind some
        time later, the store refuses it, and without the large item it would
        get no other changes either. Such hosts get the item one at a time.
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
        """Return the items to send whole, and the patches for the others."""
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
        """Return the number of hosts, and update the deployment state."""
        hosts = len(self._subscribers) + 1
        self._deployment.update_host_count(hosts)
        return hosts

    def _refer_to_store(self, link: LinkAddress) -> None:
        as_of = self._deployment.as_of
        self._send(link, StoreFeed(as_of, as_of, FEED_ENDED_AGE, 0.0, []))

    def end(self) -> None:
        """End the feed, so that all hosts watch the store themselves."""
        for link in self._subscribers:
            self._refer_to_store(link)
        self._subscribers.clear()
        self._referred_at.clear()


class FeedReceiver:
    """Host's side of the feed: applies the leader's messages.

    Parameters
    ----------
    deployment : DeploymentState
        State to update.
    eras : EraTracker
        Notified of eras that the leader has seen.
    """

    def __init__(self, deployment: DeploymentState, eras: EraTracker) -> None:
        self._deployment = deployment
        self._eras = eras
        self._fresh_at = float("-inf")

    def handle_feed(self, message: StoreFeed, now: float) -> None:
        """Apply a message of the leader, if it continues the known state."""
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
            # The leader assumed another version here: watch the store.
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
        """Return whether a message continues the known state without a gap.

        A message may have been lost, and a leader may not know yet that its
        era has ended. The first message of a later era must be complete.
        """
        known = self._deployment.as_of
        if message.as_of.era != known.era:
            later = message.as_of.era > known.era
            return later and message.since == NO_POSITION
        return message.since <= known

    def _apply_patches(self, patches: list[Patch]) -> list[Item] | None:
        """Return the patched items; None if a base version is unknown."""
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
        """Return whether the feed replaces this host's watch of the store."""
        return now - self._fresh_at < FEED_TIMEOUT
