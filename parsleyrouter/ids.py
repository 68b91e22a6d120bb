"""Identifiers that cross module boundaries."""

from typing import NewType

__all__ = [
    "Address",
    "AttemptId",
    "CellId",
    "ChunkName",
    "CustomerName",
    "DomainName",
    "EndpointId",
    "Epoch",
    "Fingerprint",
    "GrantId",
    "ItemId",
    "ItemIndex",
    "JobId",
    "KindName",
    "ModelName",
    "NodeId",
    "PartIndex",
    "PromptPart",
    "RequestId",
    "Revision",
    "RouteName",
    "RunId",
    "ServiceName",
    "ShareId",
    "TeamName",
]

Address = NewType("Address", str)
"""A TCP or UDP address in the form ``ip:port``."""

NodeId = NewType("NodeId", str)
DomainName = NewType("DomainName", str)
CellId = NewType("CellId", str)
"""A group of nodes of one failure domain that send each other every load change."""

EndpointId = NewType("EndpointId", str)
TeamName = NewType("TeamName", str)
CustomerName = NewType("CustomerName", str)
ModelName = NewType("ModelName", str)
KindName = NewType("KindName", str)
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
ServiceName = NewType("ServiceName", str)
AttemptId = NewType("AttemptId", str)
GrantId = NewType("GrantId", str)
JobId = NewType("JobId", str)
PartIndex = NewType("PartIndex", int)
ItemId = NewType("ItemId", str)
ItemIndex = NewType("ItemIndex", int)
ChunkName = NewType("ChunkName", str)
Epoch = NewType("Epoch", int)

ShareId = NewType("ShareId", int)
"""One of the equal parts of the limits of a group of customers."""

PromptPart = NewType("PromptPart", str)
"""The id of a part of a prompt that several requests may share."""

Fingerprint = NewType("Fingerprint", PromptPart)
"""What copies of one request have in common, whatever their ids."""

RunId = NewType("RunId", str)
"""One run of a request at an endpoint; unique in the fleet."""

Revision = NewType("Revision", int)
"""A modification revision of the key-value service; increases monotonically."""
