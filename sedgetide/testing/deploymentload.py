"""Load and configurations of a fleet in a deployment's shape."""

from sedgetide.testing.callerprocess import CallerCommand
from sedgetide.testing.deploymentchoices import DeploymentFault
from sedgetide.testing.deploymentchoices import FaultChoices

_MANY_ROUTES = 350


class LoadFaults(FaultChoices):
    """Draws configurations of more routes, and bursts of requests."""

    def draw_routes(self) -> DeploymentFault:
        """Draw a configuration of one more route, or of many more."""
        count = self._random.choice((1, _MANY_ROUTES))
        fleet = self._fleet
        return DeploymentFault(
            f"{count} more routes",
            0.0,
            lambda: self._fleet.spawn(fleet.configure, count),
        )

    def draw_burst(self) -> DeploymentFault:
        """Draw a burst of requests, on one key or on all."""
        key = self._random.choice((-1, self._random.randrange(65536)))
        seconds = self._draw_seconds()
        fleet = self._fleet
        return DeploymentFault(
            "burst" if key < 0 else f"burst of key {key}",
            seconds,
            lambda: fleet.command(CallerCommand(burst=seconds, key=key)),
        )
