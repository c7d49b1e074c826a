"""Tests of how hosts tell each other of deadly requests."""

import testtools

from sedgetide.coding.messages import decode_envelope
from sedgetide.coding.messages import encode_envelope
from sedgetide.coding.messages import Envelope
from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import RequestId
from sedgetide.core.requests.breaks import BrokenRun
from sedgetide.core.requests.breaks import EndedUpstream
from sedgetide.core.requests.breaks import LossProof
from sedgetide.core.requests.quarantine import Quarantine
from sedgetide.daemons._quarantine import SharedQuarantine

DEADLY = Fingerprint("deadly")
_REPORT_EVERY = 0.4


class Host:
    """One host's quarantine on links that the test delivers."""

    def __init__(self, net, number):
        self.link = LinkAddress(f"10.0.0.{number}:1")
        self.net = net
        self.leader = None
        self.quarantine = Quarantine()
        self.shared = SharedQuarantine(
            self.quarantine, self.link, lambda: self.leader, self.send
        )

    def send(self, link, message):
        envelope = Envelope(self.link, [message])
        self.net.waiting.append((link, encode_envelope(envelope)))

    def lose(self, name, at):
        run = BrokenRun(RequestId("r"), DEADLY, at)
        self.shared.take_ended(
            EndedUpstream(IncarnationName(name), LossProof.REFUSED, (run,)), at
        )

    def knows(self, now):
        return self.quarantine.find_stay(DEADLY, now) > 0.0


class Net:
    """Hosts, and the messages between them."""

    def __init__(self, count):
        self.waiting = []
        self.delivered = 0
        self.cut = set()
        self.hosts = [Host(self, number) for number in range(count)]
        for host in self.hosts:
            host.leader = self.hosts[0].link

    def deliver(self, now):
        while self.waiting:
            link, data = self.waiting.pop(0)
            envelope = decode_envelope(data)
            if self.cut & {link, envelope.sender}:
                continue
            self.delivered += 1
            host = next(each for each in self.hosts if each.link == link)
            for message in envelope.messages:
                host.shared.take(message, LinkAddress(envelope.sender), now)

    def report(self, now):
        """Let all hosts report to their leader once."""
        for host in self.hosts:
            leader = next(
                each for each in self.hosts if each.link == host.leader
            )
            if leader is host or self.cut & {host.link, leader.link}:
                continue
            version = host.quarantine.version
            leader.shared.note_report(host.link, version, now)
        self.deliver(now)


class TestSharedQuarantine(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.net = Net(5)
        self.net.report(0.0)

    def lose_three(self):
        """Let three hosts see one loss each."""
        for number, at in ((1, 1.0), (2, 5.0), (3, 9.0)):
            self.net.hosts[number].lose(f"u{number}", at)
            self.net.deliver(at)

    def test_quiet_while_nothing_happens(self):
        for turn in range(20):
            self.net.report(turn * _REPORT_EVERY)
        self.assertEqual(0, self.net.delivered)

    def test_all_know_at_once(self):
        self.lose_three()
        self.assertEqual(
            [True] * 5, [host.knows(9.0) for host in self.net.hosts]
        )

    def test_host_that_missed_the_message(self):
        """The link of one host was cut when the third loss was seen."""
        missing = self.net.hosts[4]
        self.net.cut = {missing.link}
        self.lose_three()
        self.assertFalse(missing.knows(9.0))
        self.net.cut = set()
        self.net.report(9.0 + _REPORT_EVERY)
        self.assertTrue(missing.knows(9.0 + _REPORT_EVERY))

    def test_what_was_seen_behind_a_cut(self):
        """A cut host sees the third loss; the leader asks for it later."""
        cut = self.net.hosts[3]
        for number, at in ((1, 1.0), (2, 5.0)):
            self.net.hosts[number].lose(f"u{number}", at)
            self.net.deliver(at)
        self.net.cut = {cut.link}
        cut.lose("u3", 9.0)
        self.net.deliver(9.0)
        self.net.cut = set()
        for turn in (1, 2):
            self.net.report(9.0 + turn * _REPORT_EVERY)
        self.assertEqual(
            [True] * 5, [host.knows(10.0) for host in self.net.hosts]
        )

    def test_new_leader_that_knows_nothing(self):
        """The leader is lost, and a host that has just started follows it."""
        self.lose_three()
        new = Host(self.net, 9)
        self.net.hosts[0] = new
        for host in self.net.hosts:
            host.leader = new.link
        self.net.report(12.0)
        self.assertTrue(new.knows(12.0))

    def test_clearance_reaches_all(self):
        self.lose_three()
        self.assertTrue(self.net.hosts[2].shared.lift(DEADLY, 20.0))
        self.net.deliver(20.0)
        self.assertEqual(
            [False] * 5, [host.knows(20.0) for host in self.net.hosts]
        )
        self.assertFalse(self.net.hosts[2].shared.lift(DEADLY, 21.0))

    def test_silence_once_all_copies_are_alike(self):
        self.lose_three()
        for turn in range(5):
            self.net.report(10.0 + turn * _REPORT_EVERY)
        before = self.net.delivered
        for turn in range(50):
            now = 12.0 + turn * _REPORT_EVERY
            for host in self.net.hosts:
                host.shared.keep(now)
            self.net.report(now)
        self.assertEqual(before, self.net.delivered)
