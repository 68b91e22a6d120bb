"""Peer methods of an agent, for other agents and the other processes of its VM."""

import contextlib
from typing import TYPE_CHECKING

from parsleyrouter.connection.peer import PeerMethods
from parsleyrouter.ids import Revision
from parsleyrouter.process.loop import TimedOut
from parsleyrouter.thrift_gen.fleet.ttypes import (
    FetchSettings,
    Follow,
    FollowAnswer,
    MemberList,
    NodeStatus,
    SettingsUpdate,
    StatusQuery,
)

if TYPE_CHECKING:
    from parsleyrouter.process.agent import Agent

__all__ = ["AGENT_METHODS"]

FOLLOW_WAIT_S = 1.0

AGENT_METHODS = PeerMethods()


@AGENT_METHODS.add("fleet.sync", MemberList)
async def _sync(agent: "Agent", request: MemberList) -> MemberList:
    """Exchange complete member lists."""
    return agent.prober.exchange(request)


@AGENT_METHODS.add("fleet.settings", FetchSettings)
async def _settings(agent: "Agent", request: FetchSettings) -> SettingsUpdate:
    """Return the settings newer than a revision."""
    return agent.settings_since(Revision(request.since))


@AGENT_METHODS.add("fleet.follow", Follow)
async def _follow(agent: "Agent", request: Follow) -> FollowAnswer:
    """Long-poll for a process of this VM: answer once something changes, or after the timeout."""
    answer = agent.follow(request)
    if answer.members is None and answer.settings is None:
        with contextlib.suppress(TimedOut):
            await agent.loop.within(FOLLOW_WAIT_S, agent.next_change)
            answer = agent.follow(request)
    return answer


@AGENT_METHODS.add("fleet.status", StatusQuery)
async def _status(agent: "Agent", request: StatusQuery) -> NodeStatus:
    """Return whether a revision is active on this node."""
    return agent.status(Revision(request.revision))
