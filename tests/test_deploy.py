"""Tests of the deploy file and what it needs."""

import pathlib
import tomllib

import testtools

ROOT = pathlib.Path(__file__).parents[1]
# The host daemon runs without these; the others go on needing them.
NOT_DEPLOYED = {"geventhttpclient"}


def read_name(requirement):
    return requirement.partition(">")[0].strip()


class TestDeploy(testtools.TestCase):
    """One source of versions, and a start without a shell."""

    def test_requirements_are_those_of_the_project(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        wanted = {
            each
            for each in project["project"]["dependencies"]
            if read_name(each) not in NOT_DEPLOYED
        }
        text = (ROOT / "deploy" / "requirements.txt").read_text()
        self.assertEqual(wanted, set(text.split()))

    def test_role_runs_the_host_daemon(self):
        text = (ROOT / "deploy" / "system.toml").read_text()
        role = tomllib.loads(text)["roles"]["host"]
        self.assertEqual("python3 -m sedgetide.platform", role["run"])
        self.assertTrue((ROOT / role["template"]).exists())
