"""Constrained field types of settings and of the operators' text."""

from typing import Annotated

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=63)
]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
# What a deployment may set to nothing at all: a share, a number of retries.
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
# Milliseconds; a grant is renewed thrice in its life, and each renewal may
# take 0.6 s to arrive, so that a shorter life would end between two of them.
HoldMilliseconds = Annotated[float, msgspec.Meta(ge=1000)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
