"""Tests of the deployment files."""

import pathlib
import tomllib

import testtools

ROOT = pathlib.Path(__file__).parents[1]
# The host daemon does not need these; the other programs do.
NOT_DEPLOYED = {"geventhttpclient"}


def read_name(requirement):
    return requirement.partition(">")[0].strip()


class TestDeploy(testtools.TestCase):
    """Requirements match the project, and the run command is valid."""

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
