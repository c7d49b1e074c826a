"""Typed identifiers shared by every layer."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
UpstreamName = NewType("UpstreamName", str)
# One start of an upstream's process; see core/membership/incarnations.py.
IncarnationName = NewType("IncarnationName", str)
StartTime = NewType("StartTime", int)
DataCentre = NewType("DataCentre", str)
HostName = NewType("HostName", str)
LinkAddress = NewType("LinkAddress", str)
Shard = NewType("Shard", int)
Epoch = NewType("Epoch", int)
Revision = NewType("Revision", int)
RequestId = NewType("RequestId", str)
OperationId = NewType("OperationId", str)
ChangeId = NewType("ChangeId", str)

NO_EPOCH = Epoch(0)
NO_REVISION = Revision(0)

# Ordered keys of services whose upstreams hold ranges.
Key = NewType("Key", int)
Fence = NewType("Fence", int)
RouteName = NewType("RouteName", str)
# What a request asks for and who asks; see core/requests/fingerprints.py.
Fingerprint = NewType("Fingerprint", str)
Version = NewType("Version", int)

NO_FENCE = Fence(0)
NO_UPSTREAM = IncarnationName("")
