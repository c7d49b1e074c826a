"""Tests of documents that no process of this project writes."""

import msgspec
import testtools

from sedgetide.coding.decoding import decode_json
from sedgetide.coding.decoding import decode_msgpack
from sedgetide.coding.text import check_text
from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import decode_text

DEPTH = 100_000
NESTED_LIST = b"[" * DEPTH + b"]" * DEPTH
NESTED = b'{"x":' + NESTED_LIST + b"}"


class TestNestedDocuments(testtools.TestCase):
    """Guards against processes that end at a document nested too deeply."""

    def test_json(self):
        for value in (NESTED_LIST, NESTED):
            self.assertRaises(msgspec.DecodeError, decode_json, value)

    def test_msgpack(self):
        decoder = msgspec.msgpack.Decoder()
        nested = b"\x91" * DEPTH + b"\xc0"
        self.assertRaises(msgspec.DecodeError, decode_msgpack, nested, decoder)

    def test_records_of_entries_and_keepers(self):
        for decode in (decode_text, decode_assignment):
            self.assertRaises(msgspec.MsgspecError, decode, NESTED)

    def test_text(self):
        text, problems = check_text(NESTED)
        self.assertIsNone(text)
        self.assertEqual(1, len(problems))
