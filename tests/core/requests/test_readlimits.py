"""Tests of the limits of what is read of an answer."""

import testtools

from sedgetide.core.requests.bodylimits import BodyBudget
from sedgetide.core.requests.readlimits import has_many_blanks
from sedgetide.core.requests.readlimits import MAX_HEAD_BYTES
from sedgetide.core.requests.readlimits import ReadBound
from sedgetide.core.requests.readlimits import ReadBudget
from sedgetide.core.requests.readlimits import ReadCut

LIMIT = 100_000
MEGABYTE = 1 << 20


class TestReadBudget(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.budget = ReadBudget(LIMIT, 10.0)

    def assert_cut(self, bound, check, *arguments):
        cut = self.assertRaises(ReadCut, check, *arguments)
        self.assertIs(bound, cut.bound)

    def test_time(self):
        # Guards against an upstream that sends a byte a second.
        self.budget.check_time(9.9)
        self.assert_cut(ReadBound.TIME, self.budget.check_time, 10.0)

    def test_bytes_of_all_heads(self):
        # Guards against interim answers that are small one by one.
        self.budget.note_head(b"x" * (MAX_HEAD_BYTES - 1000))
        self.budget.check_open_head(1000)
        self.assert_cut(ReadBound.HEAD, self.budget.check_open_head, 1001)
        self.assert_cut(ReadBound.HEAD, self.budget.note_head, b"x" * 1001)

    def test_lines_of_all_heads(self):
        # Guards against parsing for tens of milliseconds without a pause.
        self.budget.note_head(b"a:\r\n" * 999)
        self.budget.note_head(b"\r\n")
        self.assert_cut(ReadBound.HEAD, self.budget.note_head, b"\r\n")

    def test_number_of_interim_answers(self):
        for _ in range(16):
            self.budget.note_head(b"HTTP/1.1 100 \r\n\r\n")
        self.assert_cut(ReadBound.HEAD, self.budget.note_head, b"")

    def test_blanks_in_a_head(self):
        # Guards against a regular expression that takes 11 s for one line.
        self.budget.note_head(b"a:" + b" \t" * 127 + b" x\r\n")
        self.assert_cut(
            ReadBound.HEAD, self.budget.note_head, b"a:" + b" \t" * 128
        )

    def test_blanks_in_folded_lines(self):
        # Guards against the same in lines that the parser joins.
        self.assertFalse(has_many_blanks(b"x:\r\n" + b" \r\n" * 255))
        self.assertTrue(has_many_blanks(b"x:\r\n" + b" \r\n" * 256))
        self.assertFalse(has_many_blanks(b'    "name": 1,\r\n' * 1000))

    def test_body(self):
        self.budget.note_body(LIMIT)
        self.assert_cut(ReadBound.BODY, self.budget.note_body, 1)

    def test_announced_body(self):
        # Guards against reading a body of which the size is known before.
        self.budget.check_length(LIMIT)
        self.assert_cut(ReadBound.BODY, self.budget.check_length, LIMIT + 1)

    def test_memory_for_large_bodies_of_one_peer(self):
        # Guards against several bodies without end that together exceed the
        # memory of a host.
        bodies = BodyBudget(3 * MEGABYTE)
        budgets = [ReadBudget(10 * MEGABYTE, 10.0, bodies) for _ in range(3)]
        for budget in budgets:
            budget.note_body(MEGABYTE)
        self.assertEqual(0, bodies.held)
        budgets[0].note_body(2 * MEGABYTE)
        budgets[1].note_body(MEGABYTE)
        self.assert_cut(ReadBound.MEMORY, budgets[2].note_body, 1)
        for budget in budgets:
            budget.release()
        self.assertEqual(0, bodies.held)

    def test_memory_for_bodies_of_all_peers(self):
        # Guards against bodies without end of many peers, each within its own
        # limit, that together exceed the memory of a host.
        memory = BodyBudget(3 * MEGABYTE)
        budgets = [
            ReadBudget(10 * MEGABYTE, 10.0, BodyBudget(10 * MEGABYTE), memory)
            for _ in range(4)
        ]
        for budget in budgets[:3]:
            budget.note_body(MEGABYTE)
        small = 64 * 1024
        budgets[3].note_body(small)
        self.assert_cut(ReadBound.MEMORY, budgets[3].note_body, 1)
        for budget in budgets:
            budget.release()
        self.assertEqual(0, memory.held)

    def test_pauses_after_some_megabytes(self):
        # Guards against bodies without end that take all processor time.
        self.budget.note_received(4 * MEGABYTE)
        self.assertEqual(0.0, self.budget.find_pause())
        self.budget.note_received(1)
        self.assertGreater(self.budget.find_pause(), 0.0)

    def test_many_small_chunks(self):
        # Guards against parsing of chunks of one byte up to the body limit.
        for _ in range(4161):
            self.budget.note_body(1, 1)
        self.assert_cut(ReadBound.CHUNKS, self.budget.note_body, 1, 1)

    def test_chunks_of_a_usual_size(self):
        for _ in range(LIMIT // 64):
            self.budget.note_body(64, 1)

    def test_trailers_and_extensions(self):
        # Guards against bytes that count neither as head nor as body.
        self.budget.note_received(100 + 1000 + 32 * 1024 + 1000)
        self.budget.note_head(b"x" * 100)
        self.budget.note_body(1000)
        self.budget.check_framing()
        self.budget.note_received(1)
        self.assert_cut(ReadBound.FRAMING, self.budget.check_framing)

    def test_trailers_that_wait_for_their_end(self):
        # Guards against a regular expression that takes seconds for trailers.
        self.budget.check_framing_part(2048)
        self.assert_cut(
            ReadBound.FRAMING, self.budget.check_framing_part, 2049
        )
