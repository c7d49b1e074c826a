"""Faults of the ownership simulation with upstreams that come and go."""

from typing import TYPE_CHECKING

from sedgetide.core.history import NO_POSITION
from sedgetide.core.membership.directory import RETURN_GRACE
from sedgetide.testing.ownershipfaults import FAULT_TIMES
from sedgetide.testing.ownershipfaults import Faults
from sedgetide.testing.ownershiphosts import NEVER
from sedgetide.testing.ownershiphosts import PathState
from sedgetide.testing.ownershiphosts import RegistryHost
from sedgetide.testing.ownershiphosts import STEP
from sedgetide.testing.ownershiphosts import WorldHost
from sedgetide.testing.ownershipregistry import ENTRY_LIFE
from sedgetide.testing.ownershipregistry import UpstreamProcess

if TYPE_CHECKING:
    from sedgetide.testing.ownershipregistryworld import RegistryWorld

_LEAST_UPSTREAMS = 2


class RegistryFaults(Faults):
    """Also faults of upstreams that register, and of pairs of things."""

    world: "RegistryWorld"

    def __init__(self, world: "RegistryWorld") -> None:
        super().__init__(world, with_restores=True, with_refusals=True)
        self.kinds += [
            self._start_upstream,
            self._end_upstream,
            self._restart_upstream,
            self._let_upstream_leave,
            self._cut_upstream_from_store,
            self._resign,
            self._cut_links,
            self._change_leader_and_restore,
            self._change_leader_and_restore,
            self._replace_leader_unnoticed,
            self._replace_leader_unnoticed,
            self._restore_and_cut_upstream,
            self._restore_and_lose_hosts,
            self._restore_twice,
            self._restore_copy_without_upstream,
            self._restore_copy_without_upstream,
            self._restore_entry_of_former_upstream,
            self._restore_and_replace_leader,
        ]

    def _pick_process(self) -> UpstreamProcess:
        return self.world.random.choice(self.world.registry.list_running())

    def _restore_entry_of_former_upstream(
        self, _: WorldHost, until: float
    ) -> None:
        """Restore the entry of an upstream whose address another one has.

        Hosts that have restarted meanwhile see the entry of the former
        upstream later than that of its successor, which is cut off.
        """
        registry = self.world.registry
        if len(registry.list_running()) <= _LEAST_UPSTREAMS:
            return
        former = self._pick_process()
        copy = self.world.store.copy()
        registry.end(former)
        process = self.world.start_upstream(former.entry.address)
        seconds = until - self.world.now

        def restore() -> None:
            process.store_unreachable_until = self.world.now + seconds
            self._isolate(process, self.world.now + seconds)
            self.restore_copy(0.0, copy)

        self.world.delay(ENTRY_LIFE + STEP, self._restart_some)
        self.world.delay(self.world.random.uniform(4.0, 7.0), restore)

    def _isolate(self, process: UpstreamProcess, until: float) -> None:
        state = self.world.random.choice(list(PathState))
        for host in self.world.hosts:
            host.paths.close(process.entry.address, state, until)

    def _start_upstream(self, *_: object) -> UpstreamProcess | None:
        registry = self.world.registry
        if len(registry.list_running()) >= self.world.most_upstreams:
            return None
        former = registry.former_addresses
        if former and self.world.random.random() < 0.5:
            address = self.world.random.choice(former)
        else:
            address = self.world.create_address()
        return self.world.start_upstream(address)

    def _end_upstream(self, *_: object) -> None:
        registry = self.world.registry
        if len(registry.list_running()) > _LEAST_UPSTREAMS:
            registry.end(self._pick_process())

    def _restart_upstream(self, *_: object) -> None:
        process = self._pick_process()
        name, address = process.entry.registered_name, process.entry.address
        registry = self.world.registry
        if len(registry.list_running()) <= _LEAST_UPSTREAMS:
            return
        registry.end(process)

        def start() -> None:
            if registry.find_at(address) is None:
                registry.start(name, address, self.world.now)

        self.world.delay(self.world.random.uniform(0.2, 2.0), start)

    def _let_upstream_leave(self, *_: object) -> None:
        registry = self.world.registry
        if len(registry.list_running()) <= _LEAST_UPSTREAMS:
            return
        process = self._pick_process()
        registry.leave(process)
        self.world.delay(
            self.world.random.uniform(1.0, 8.0),
            lambda: registry.end(process),
        )

    def _cut_upstream_from_store(self, _: WorldHost, until: float) -> None:
        self._pick_process().store_unreachable_until = until

    def _resign(self, host: WorldHost, _: float) -> None:
        """End the term of a leader that reaches the store."""
        if host.leadership.term == NO_POSITION:
            return
        host.leadership.end()
        if self.world.now >= host.store_unreachable_until:
            self.world.store.revoke(host.lease)

    def _cut_links(self, host: WorldHost, until: float) -> None:
        """Cut a host off from all other hosts."""
        host.links_cut_until = until

    def _change_leader_and_restore(self, *_: object) -> None:
        """Take the leader away, and restore the store soon after."""
        leaders = [
            host
            for host in self.world.hosts
            if host.leadership.may_order(self.world.now)
        ]
        change = self.world.random.choice(
            (self.pause, self.restart, self._resign)
        )
        for host in leaders:
            change(host, self.world.now + self.world.random.uniform(1.0, 9.0))
        self.world.delay(
            self.world.random.uniform(0.0, 5.0), lambda: self.restore()
        )

    def _replace_leader_unnoticed(self, *_: object) -> None:
        """Remove the record of a leader right after it was read.

        The leader is cut off from the store then, and sends grants with the
        long hold until it is lost after one of them. Its successor does not
        reach one of the upstreams.
        """
        leader = self._find_leader()
        if leader is None:
            return
        verified_in = leader.verified_at + self.world.durations.verify
        self.world.delay(
            max(0.0, verified_in + STEP - self.world.now),
            lambda: self._remove_record(leader),
        )

    def _remove_record(self, leader: RegistryHost) -> None:
        now = self.world.now
        leader.store_unreachable_until = now + 16.0
        self.world.store.revoke(leader.lease)
        self._isolate_and_cut(self._pick_process(), leader, now + 16.0)
        self.world.delay(
            self.world.random.uniform(1.0, 1.7),
            lambda: self._lose_with_orders(leader),
        )
        if self.world.random.random() < 0.5:
            self.world.delay(
                self.world.random.uniform(0.3, 4.0), lambda: self.restore()
            )

    def _restore_and_replace_leader(self, *_: object) -> None:
        """Replace the leader of a new era when the first table is due."""
        copy = self.world.random.choice(self.world.copies)[1]
        self.restore_copy(0.0, copy)
        due = self.world.random.choice(
            (RETURN_GRACE, self.world.durations.max_inherited_hold())
        )
        self.world.delay(
            due - self.world.random.uniform(0.0, 0.6),
            self._replace_leader_with_table,
        )

    def _replace_leader_with_table(self) -> None:
        """Remove the record of a leader that goes on reading tables.

        Its next read of its record is late. Its successor does not reach one
        of the upstreams.
        """
        leader = self._find_leader()
        if leader is None:
            return
        leader.verified_at = self.world.now
        self.world.store.revoke(leader.lease, forget=False)
        until = self.world.now + 16.0
        self._isolate_and_cut(self._pick_process(), leader, until)

    def _lose_with_orders(self, host: RegistryHost) -> None:
        """Have a host renew all grants, and lose it right after that."""
        host.renewed_at.clear()
        host.lost_after_order_at = self.world.now
        self.world.delay(0.3, lambda: self.lose_after_order(host))

    def lose_after_order(self, host: RegistryHost) -> None:
        """Pause or restart a host that is to be lost, once."""
        if host.lost_after_order_at == NEVER:
            return
        host.lost_after_order_at = NEVER
        end = self.world.now + self.world.random.choice(FAULT_TIMES)
        self.world.random.choice((self.pause, self.restart))(host, end)

    def _find_leader(self) -> RegistryHost | None:
        for host in self.world.hosts:
            if host.leadership.may_order(self.world.now):
                return host
        return None

    def _isolate_and_cut(
        self, process: UpstreamProcess, leader: WorldHost, until: float
    ) -> None:
        """Cut an upstream off from all hosts but the leader."""
        state = self.world.random.choice((PathState.SILENT, PathState.REFUSED))
        for host in self.world.hosts:
            if host is not leader:
                host.paths.close(process.entry.address, state, until)
        if self.world.random.random() < 0.5:
            process.store_unreachable_until = until

    def _restore_and_cut_upstream(self, host: WorldHost, until: float) -> None:
        """Restore the store while an upstream is cut off, also from hosts."""
        process = self._pick_process()
        process.store_unreachable_until = until
        self._isolate(process, until)
        self.restore()

    def _restore_and_lose_hosts(self, *_: object) -> None:
        self._restart_some()
        self.restore()

    def _restart_some(self) -> None:
        share = self.world.random.choice((0.5, 1.0))
        for host in self.world.hosts:
            if self.world.random.random() < share:
                self.restart(host, 0.0)

    def _restore_copy_without_upstream(
        self, _: WorldHost, until: float
    ) -> None:
        """Start an upstream, and restore a copy of before its start.

        The upstream is cut off from the store meanwhile, so that only hosts
        which have seen its entry before know of it.
        """
        copy = self.world.store.copy()
        process = self._start_upstream()
        if process is None:
            return

        def restore() -> None:
            process.store_unreachable_until = self.world.now + until - began
            self._restart_some()
            self.restore_copy(self.world.random.choice((0.0, 0.5)), copy)

        began = self.world.now
        self.world.delay(self.world.random.uniform(2.0, 7.0), restore)

    def _restore_twice(self, host: WorldHost, until: float) -> None:
        self.restore()
        self.world.delay(
            self.world.random.uniform(0.3, 12.0), lambda: self.restore()
        )
