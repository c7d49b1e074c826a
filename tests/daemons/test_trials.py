"""Tests of how hosts ask for trials of suspect requests."""

import contextlib
import random
import types

import gevent
import testtools

from sedgetide.core.identifiers import Fingerprint
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.identifiers import RequestId
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.requests.attempts import Failure
from sedgetide.core.requests.places import Verdict
from sedgetide.core.requests.quarantine import Quarantine
from sedgetide.core.requests.refusals import Refusal
from sedgetide.core.requests.refusals import RefusalReason
from sedgetide.core.requests.routes import RequestTimes
from sedgetide.daemons._quarantine import SharedQuarantine
from sedgetide.daemons._trials import Trials
from sedgetide.runtime.clock import read_clock
from tests.wire.loopticker import count_wait

DEADLY = Fingerprint("deadly")
ON_TRIAL = Refusal(RefusalReason.ON_TRIAL)


def make_context(seconds=1.0):
    """Return a suspect request whose caller waits for some seconds."""
    now = read_clock()
    return types.SimpleNamespace(
        fields=types.SimpleNamespace(request=RequestId("r")),
        times=RequestTimes(now, now + seconds, now + seconds),
        service=ServiceName("maps"),
        find_fingerprint=lambda: DEADLY,
        refusal=None,
        retry_after=0.25,
        alone=False,
        wait_for=lambda stage: contextlib.nullcontext(),
    )


class Host:
    def __init__(self, net, number):
        self.link = LinkAddress(f"10.0.0.{number}:1")
        self.quarantine = Quarantine()
        self.shared = SharedQuarantine(
            self.quarantine, self.link, lambda: None, net.send
        )
        self.trials = Trials(
            self.link,
            self.shared,
            lambda: net.leader,
            lambda link, message: net.deliver(self.link, link, message),
            random.Random(number),
        )


class Network:
    """Hosts that know of the same losses, and the messages between them."""

    def __init__(self, count, losses):
        self.lost = set()
        self.hosts = [Host(self, number) for number in range(count)]
        self.leader = self.hosts[0].link
        for host in self.hosts:
            for number in range(losses):
                host.quarantine.note_loss(
                    IncarnationName(f"u{number}"),
                    [DEADLY, Fingerprint("beside")],
                    read_clock(),
                    read_clock(),
                )

    def send(self, link, message):
        """Drop messages of the quarantine."""

    def deliver(self, sender, link, message):
        if self.lost & {sender, link}:
            return
        host = next(each for each in self.hosts if each.link == link)
        gevent.spawn(host.trials.handle_message, message, sender)


class TestTrials(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.net = Network(3, 1)

    def open(self, number, context=None):
        """Return a trial of a host, released at the end of the test."""
        trials = self.net.hosts[number].trials
        return self.enterContext(trials.open(context or make_context()))

    def test_request_that_is_not_suspect_asks_no_leader(self):
        self.net = Network(3, 0)
        self.net.lost = {self.net.leader}
        self.assertIs(Verdict.NEEDLESS, self.open(1).ask())

    def test_one_copy_runs_and_its_answer_frees_the_others(self):
        first, second, third = (self.open(number) for number in range(3))
        self.assertIs(Verdict.GRANTED, first.ask())
        self.assertIs(Verdict.QUEUED, second.ask())
        self.assertIs(Verdict.QUEUED, third.ask())
        first.mark_sending()
        first.note_result(Failure.NONE)
        first.release()
        self.assertTrue(second.wait())
        self.assertIs(Verdict.NEEDLESS, second.ask())
        self.assertTrue(third.wait())
        # The leader's host forwards the clearance to all others.
        self.assertFalse(self.net.hosts[0].quarantine.is_suspect(DEADLY))

    def test_broken_run_refuses_the_others_with_a_time(self):
        first, context = self.open(1), make_context()
        second = self.open(2, context)
        first.ask()
        second.ask()
        first.mark_sending()
        first.note_result(Failure.BROKEN)
        first.release()
        self.assertFalse(second.wait())
        self.assertEqual(
            (ON_TRIAL, 1.0), (context.refusal, context.retry_after)
        )

    def test_lost_leader_refuses_at_once(self):
        # Guards against copies run by all hosts while no leader replies.
        self.net.lost = {self.net.leader}
        context = make_context()
        self.assertIs(Verdict.REFUSED, self.open(1, context).ask())
        self.assertEqual(
            (ON_TRIAL, 1.0), (context.refusal, context.retry_after)
        )
        with count_wait() as ticker:
            self.assertIs(Verdict.REFUSED, self.open(1).ask())
        self.assertLess(ticker.waited, 0.05)

    def test_caller_that_leaves_lets_the_next_copy_run(self):
        # Guards against a trial that stays open after its caller has left.
        trials = self.net.hosts[1].trials

        def run():
            with trials.open(make_context()) as trial:
                trial.ask()
                gevent.sleep(10.0)

        caller = gevent.spawn(run)
        gevent.sleep(0.05)
        second = self.open(2)
        self.assertIs(Verdict.QUEUED, second.ask())
        caller.kill()
        self.assertTrue(second.wait())
        self.assertIs(Verdict.GRANTED, second.ask())

    def test_wait_ends_while_an_answer_is_still_in_time(self):
        first, second = self.open(1), self.open(2, make_context(0.2))
        first.ask()
        second.ask()
        with count_wait() as ticker:
            self.assertFalse(second.wait())
        self.assertLess(ticker.waited, 0.2)

    def test_strong_suspect_is_told_to_run_alone(self):
        self.net = Network(3, 2)
        context = make_context()
        trial = self.open(1, context)
        self.assertIs(Verdict.GRANTED, trial.ask())
        trial.mark_sending()
        self.assertTrue(context.alone)
