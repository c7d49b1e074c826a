"""Typed identifiers shared by all layers."""

from typing import NewType

ServiceName = NewType("ServiceName", str)
UpstreamName = NewType("UpstreamName", str)
# One run of an upstream's process; see core/membership/incarnations.py.
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

# Ordered keys of services whose upstreams own key ranges, and the fencing
# token under which a range is owned.
Key = NewType("Key", int)
Fence = NewType("Fence", int)
RouteName = NewType("RouteName", str)
# Hash of a request's contents; see core/requests/fingerprints.py.
Fingerprint = NewType("Fingerprint", str)
Version = NewType("Version", int)

NO_FENCE = Fence(0)
NO_UPSTREAM = IncarnationName("")
