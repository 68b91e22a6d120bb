"""Start a fleet in this process and list its models."""

import http.client
import json

from parsleyrouter.connection.stream import split_address
from parsleyrouter.process.logs import start_logs
from parsleyrouter.standins.embedded import EmbeddedFleet, EmbeddedOptions

start_logs(program="example", level="warning")
fleet = EmbeddedFleet(EmbeddedOptions(nodes=1, engines=1))
fleet.start()


def call(method: str, path: str, key: str, body: object = None) -> tuple[int, bytes]:
    """Send a request to the entry."""
    connection = http.client.HTTPConnection(*split_address(fleet.entries[0]), timeout=10)
    data = json.dumps(body) if body is not None else None
    connection.request(method, path, data, {"Authorization": f"Bearer {key}"})
    response = connection.getresponse()
    return response.status, response.read()


print(call("PUT", "/v1/settings/fleet", fleet.options.operator_key, fleet.fleet_settings()))
print(call("PUT", "/v1/settings/teams/demo", fleet.options.operator_key, fleet.team_settings()))
print(call("GET", "/v1/models", fleet.options.team_key))
fleet.stop()
