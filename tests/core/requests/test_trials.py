"""Tests of the runs of suspects, one at a time over all hosts."""

import testtools

from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.requests.places import Ticket
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.trials import TrialEnd
from sedgetide.core.requests.trials import TrialScheduler

DEADLY = Fingerprint("deadly")
HOT = Fingerprint("hot")
MAPS = ServiceName("maps")
ALERTS = ServiceName("alerts")


def make_ticket(host, number=1):
    return Ticket(LinkAddress(f"10.0.0.{host}:1"), number)


class TestTrialScheduler(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.scheduler = TrialScheduler()

    def ask(self, ticket, now, fingerprint=DEADLY, left=2.0, alone=None):
        decisions = self.scheduler.ask(ticket, fingerprint, left, now, alone)
        return [(each.ticket, each.verdict) for each in decisions]

    def end(self, ticket, end, now):
        return [
            (each.ticket, each.verdict)
            for each in self.scheduler.end(ticket, end, now)
        ]

    def test_copies_of_all_hosts_run_one_at_a_time(self):
        # Guards against a crash for each copy in progress.
        first, *others = [make_ticket(host) for host in range(40)]
        self.assertEqual([(first, Verdict.GRANTED)], self.ask(first, 0.0))
        for each in others:
            self.assertEqual([(each, Verdict.QUEUED)], self.ask(each, 0.1))
        refused = self.end(first, TrialEnd.BROKEN, 0.2)
        self.assertEqual([(each, Verdict.REFUSED) for each in others], refused)

    def test_no_copy_runs_until_all_hosts_know_of_a_crash(self):
        first, second = make_ticket(1), make_ticket(2)
        self.ask(first, 0.0)
        self.end(first, TrialEnd.BROKEN, 0.2)
        self.assertEqual([(second, Verdict.REFUSED)], self.ask(second, 0.5))
        self.assertEqual([(second, Verdict.GRANTED)], self.ask(second, 1.3))

    def test_copies_of_an_innocent_request_go_on_after_one_run(self):
        # Guards against running all requests for a hot key one by one.
        first, *others = [make_ticket(host) for host in range(10)]
        for each in (first, *others):
            self.ask(each, 0.0, HOT)
        free = self.end(first, TrialEnd.WELL, 0.2)
        self.assertEqual([(each, Verdict.NEEDLESS) for each in others], free)
        late = make_ticket(99)
        self.assertEqual([(late, Verdict.GRANTED)], self.ask(late, 0.3, HOT))

    def test_suspects_do_not_wait_for_each_other(self):
        deadly, hot = make_ticket(1), make_ticket(2)
        self.ask(deadly, 0.0)
        self.assertEqual([(hot, Verdict.GRANTED)], self.ask(hot, 0.0, HOT))

    def test_strong_suspects_of_a_service_run_one_after_the_other(self):
        # Guards against a third loss that cannot be attributed to one of them.
        deadly, hot, other = (make_ticket(host) for host in (1, 2, 3))
        self.ask(deadly, 0.0, alone=MAPS)
        queued = self.ask(hot, 0.0, HOT, alone=MAPS)
        self.assertEqual([(hot, Verdict.QUEUED)], queued)
        free = self.ask(other, 0.0, Fingerprint("other"), alone=ALERTS)
        self.assertEqual([(other, Verdict.GRANTED)], free)
        self.assertEqual(
            [(hot, Verdict.GRANTED)], self.end(deadly, TrialEnd.BROKEN, 0.3)
        )

    def test_copy_behind_one_that_waited_for_another_suspect(self):
        # Guards against a host that gets no response and considers the leader
        # lost.
        deadly, strong, late, last = (make_ticket(host) for host in range(4))
        self.ask(deadly, 0.0, alone=MAPS)
        self.ask(strong, 0.1, HOT, alone=MAPS)
        queued = self.ask(late, 0.2, HOT)
        self.assertEqual([(late, Verdict.QUEUED)], queued)
        freed = self.end(strong, TrialEnd.NOT_RUN, 0.3)
        self.assertEqual([(late, Verdict.GRANTED)], freed)
        queued = self.ask(last, 0.4, HOT)
        self.assertEqual([(last, Verdict.QUEUED)], queued)

    def test_lost_host_does_not_keep_other_suspects_waiting(self):
        deadly, hot = make_ticket(1), make_ticket(2)
        self.ask(deadly, 0.0, left=1.0, alone=MAPS)
        self.ask(hot, 0.5, HOT, alone=MAPS)
        found = [each.ticket for each in self.scheduler.expire(1.6)]
        self.assertEqual([hot], found)

    def test_copy_that_was_not_sent_lets_the_next_one_run(self):
        first, second, third = (make_ticket(host) for host in (1, 2, 3))
        for each in (first, second, third):
            self.ask(each, 0.0)
        self.assertEqual(
            [(second, Verdict.GRANTED)],
            self.end(first, TrialEnd.NOT_RUN, 0.1),
        )

    def test_copy_that_stops_waiting_is_passed_over(self):
        first, second, third = (make_ticket(host) for host in (1, 2, 3))
        for each in (first, second, third):
            self.ask(each, 0.0)
        self.assertEqual([], self.end(second, TrialEnd.NOT_RUN, 0.1))
        self.assertEqual(
            [(third, Verdict.GRANTED)], self.end(first, TrialEnd.NOT_RUN, 0.2)
        )

    def test_run_of_a_lost_host_ends_with_its_request(self):
        # Guards against a permanent refusal after the crash of a host.
        first, second = make_ticket(1), make_ticket(2)
        self.ask(first, 0.0, left=2.0)
        self.assertEqual([], self.scheduler.expire(2.0))
        self.scheduler.expire(2.6)
        self.assertEqual([(second, Verdict.GRANTED)], self.ask(second, 4.0))
        self.assertEqual([], self.end(first, TrialEnd.BROKEN, 4.1))

    def test_memory_is_bounded(self):
        for number in range(10_000):
            self.ask(make_ticket(1, number), 0.0, Fingerprint(f"f{number}"))
            self.ask(make_ticket(2, number), 0.0)
        refused = self.ask(make_ticket(3), 0.1)
        self.assertEqual([(make_ticket(3), Verdict.REFUSED)], refused)
        self.scheduler.expire(3.0)
        self.scheduler.expire(5.0)
        granted = self.ask(make_ticket(3), 5.1, HOT)
        self.assertEqual([(make_ticket(3), Verdict.GRANTED)], granted)
