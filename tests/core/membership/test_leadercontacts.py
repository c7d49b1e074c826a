"""Tests of how a host that the store turns away finds the leader."""

import testtools

from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.leadercontacts import LeaderContacts

OWN, LEADER = LinkAddress("10.0.0.1:7"), LinkAddress("10.0.0.2:7")
LENDERS = [LinkAddress(f"10.0.1.{index}:7") for index in range(4)]


class TestLeaderContacts(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.contacts = LeaderContacts(OWN)

    def choose(self, now, heard_at=0.0, contacts=LENDERS, leader=LEADER):
        return self.contacts.choose(contacts, leader, heard_at, now)

    def test_host_in_contact_asks_nobody(self):
        # Guards against questions of all hosts while nothing is wrong.
        for step in range(100):
            now = step * 0.4
            self.assertIsNone(self.choose(now, heard_at=now - 1.0))

    def test_silent_host_asks_all_lenders_in_turn(self):
        # The store turned away a third of the hosts for nine seconds, and
        # their leader with them. Its successor was elected within two, but
        # they sent requests to replaced owners until the store was back. A
        # lender that is turned away as well must not be asked forever.
        asked = {self.choose(2.0 + 0.4 * step) for step in range(4)}
        self.assertEqual(set(LENDERS), asked)

    def test_questions_are_spaced(self):
        self.assertIsNotNone(self.choose(2.0))
        self.assertIsNone(self.choose(2.2))
        self.assertIsNotNone(self.choose(2.4))

    def test_neither_itself_nor_its_leader_is_asked(self):
        self.assertIsNone(self.choose(2.0, contacts=[OWN, LEADER]))
        self.assertEqual(
            LENDERS[0], self.choose(2.0, contacts=[OWN, LENDERS[0]])
        )
