"""Tests of the watch of the store and of writes with lost answers."""

import testtools

from sedgetide.backends.store import Store
from sedgetide.backends.store import WatchResult
from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import encode_assignment
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import Revision
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.daemons._storetask import StoreListener
from sedgetide.daemons._storetask import StoreTask
from sedgetide.daemons._storetask import swap_assignment
from sedgetide.testing.storemodel import StoreModel

KEY = "assignment/d"


def make_assignment(change_id):
    return Assignment(ChangeId(change_id), {}, {})


class FakeStore(Store):
    """A store whose answers to writes and reads can be lost."""

    def __init__(self):
        self.model = StoreModel()
        self.lose_answer = False
        self.lose_request = False
        self.lose_read = False
        self.concurrent_write = None

    def read(self, key):
        if self.lose_read:
            raise StoreError(ErrorCode.STORE_UNAVAILABLE, Step.READ)
        return self.model.read(key)

    def read_revision(self, key):
        raise NotImplementedError

    def swap(self, key, value, expected):
        if self.lose_request:
            raise StoreError(ErrorCode.STORE_UNCERTAIN, Step.WRITE)
        result = self.model.swap(key, value, expected)
        if self.concurrent_write is not None:
            other = encode_assignment(self.concurrent_write)
            self.model.swap(key, other, result.revision)
        if not result.swapped:
            raise StoreConflict(Step.WRITE, "", expected, result.revision)
        if self.lose_answer:
            raise StoreError(ErrorCode.STORE_UNCERTAIN, Step.WRITE)
        return result.revision

    def watch(self, prefix, since, wait):
        changes = self.model.list_changes(prefix, since)
        return WatchResult(self.model.revision, changes)

    def close(self):
        pass


class FakeListener(StoreListener):
    def __init__(self):
        self.taken = []

    def is_watching(self):
        return True

    def handle_records(self, records):
        self.taken.extend(record.key for record in records)

    def handle_proof(self, asked_at, revision, record):
        pass

    def set_store_unavailable(self, unavailable):
        pass


class WatchTest(testtools.TestCase):
    def test_first_write_of_an_empty_store_is_noticed(self):
        # Guards against daemons that, started on an empty store, never notice
        # the first configuration, which has revision 1.
        store, listener = FakeStore(), FakeListener()
        task = StoreTask(store, KEY, 1.0, listener)
        task.watch_once()
        store.model.swap("configuration", b"", 0)
        task.watch_once()
        self.assertEqual(["configuration"], listener.taken)


class SwapTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()

    def swap(self, change_id="own", expected=0):
        record = swap_assignment(
            self.store, KEY, make_assignment(change_id), Revision(expected)
        )
        if record is None:
            return None
        return record.revision, decode_assignment(record.value).change_id

    def test_write(self):
        self.assertEqual((1, "own"), self.swap())

    def test_lost_answer_of_a_write_that_took_effect(self):
        # Guards against an assigner that assumes a failure and plans the same
        # change again, based on an outdated revision.
        self.store.lose_answer = True
        self.assertEqual((1, "own"), self.swap())

    def test_lost_answer_and_another_write_since(self):
        # Guards against taking the revision of another writer's change, which
        # is read back, for that of this writer's.
        self.store.lose_answer = True
        self.store.concurrent_write = make_assignment("other")
        self.assertEqual((2, "other"), self.swap())

    def test_write_that_never_arrived(self):
        self.swap("first")
        self.store.lose_request = True
        self.assertEqual((1, "first"), self.swap("own", 1))

    def test_nothing_is_known_without_the_store(self):
        self.store.lose_answer = True
        self.store.lose_read = True
        self.assertIsNone(self.swap())

    def test_loser_of_a_race_learns_the_winner(self):
        self.swap("first")
        self.swap("second", 1)
        self.assertEqual((2, "second"), self.swap("own", 1))

    def test_record_is_empty_after_a_lost_first_write(self):
        self.store.lose_request = True
        self.assertIsNone(self.swap())
