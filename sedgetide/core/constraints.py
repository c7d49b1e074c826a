"""Constrained field types of settings and of the configuration text."""

from typing import Annotated

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=63)
]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
# For values that may be zero, such as a share or a number of retries.
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
# Milliseconds. A grant is renewed three times during its lifetime and each
# renewal may take 0.6 s to arrive, so a grant with a shorter lifetime would
# expire between two renewals.
HoldMilliseconds = Annotated[float, msgspec.Meta(ge=1000)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
