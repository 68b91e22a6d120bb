"""Agents with their settings editor and operators' HTTP API, on one event loop."""

from typing import Any

from parsleyrouter.connection.api_settings import SettingsApi, add_settings_routes
from parsleyrouter.connection.authentication import hash_key
from parsleyrouter.connection.http_server import HttpServer, Routes
from parsleyrouter.connection.key_value import KeyValue
from parsleyrouter.ids import Address, DomainName, NodeId
from parsleyrouter.process.agent import Agent
from parsleyrouter.process.agent_options import AgentOptions
from parsleyrouter.process.operators import Operators
from parsleyrouter.process.runtime import Runtime
from parsleyrouter.process.settings_editor import SettingsEditor
from parsleyrouter.standins.ports import free_address

OPERATOR_KEY = "operator-key"
WAIT_STEP_S = 0.02


def start_agent(
    runtime: Runtime, key_value: KeyValue, name: str, seeds: str = "", domain: str = "d1"
) -> Agent:
    """Start the agent of one node."""
    options = AgentOptions(
        agent=free_address(), seeds=seeds, operator_key_sha256=hash_key(OPERATOR_KEY)
    )
    agent = Agent(runtime, options, key_value, node=NodeId(name), domain=DomainName(domain))
    agent.start()
    return agent


def serve_settings(runtime: Runtime, agent: Agent, key_value: KeyValue) -> HttpServer:
    """Serve the operators' HTTP API of one node."""
    settings_editor = SettingsEditor(runtime, key_value, agent.apply_accepted)
    operators = Operators(agent, hash_key(OPERATOR_KEY))
    routes = Routes()
    add_settings_routes(routes, SettingsApi(settings_editor, agent, operators))
    return HttpServer(
        runtime.loop, Address("127.0.0.1:0"), routes, None, channel=f"web-{agent.me.node}"
    ).register(runtime)


async def until(runtime: Runtime, condition: Any, limit_s: float = 30.0) -> None:
    """Wait until a condition holds; fail after a time limit."""
    deadline_s = runtime.loop.now() + limit_s
    while not condition():
        assert runtime.loop.now() < deadline_s, "the condition never held"
        await runtime.loop.sleep(WAIT_STEP_S)
