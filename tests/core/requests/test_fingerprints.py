"""Tests of the fingerprints of requests."""

import testtools

from sedgetide.core.requests.fingerprints import make_fingerprint

FIRST = ("GET", "maps.example", "/map/7?z=3", b"")


class TestFingerprints(testtools.TestCase):
    def test_repetition_has_the_same_fingerprint(self):
        self.assertEqual(make_fingerprint(*FIRST), make_fingerprint(*FIRST))

    def test_each_part_counts(self):
        others = [
            ("POST", *FIRST[1:]),
            (*FIRST[:1], "other.example", *FIRST[2:]),
            (*FIRST[:2], "/map/7?z=4", *FIRST[3:]),
            (*FIRST[:3], b"x"),
        ]
        found = {make_fingerprint(*each) for each in [FIRST, *others]}
        self.assertEqual(5, len(found))

    def test_parts_do_not_run_together(self):
        self.assertNotEqual(
            make_fingerprint("GET", "h/a", "/b", b""),
            make_fingerprint("GET", "h", "/a/b", b""),
        )

    def test_any_text_of_a_header(self):
        make_fingerprint("GET", "b\xfccher.example", "/\u2603", b"\x00")
