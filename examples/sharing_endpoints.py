"""Place a burst of requests on shared endpoints by the loads that one node knows.

Run: python examples/sharing_endpoints.py
"""

from random import Random

from parsleyrouter.ids import DomainName, EndpointId
from parsleyrouter.process.batch_placement import pick_batch_endpoint
from parsleyrouter.request.admission import Admit, admit
from parsleyrouter.request.placement import PlacementCandidate, choose_endpoint, queue_wait_s

SERVICE_S = 0.7
TARGET_S = 0.3
ALLOWED_S = 5.0


def main() -> None:
    """Place ten requests on two endpoints with four slots and one batch item each."""
    random = Random(1)
    here = DomainName("accra")
    online = {EndpointId("engine-1"): 0, EndpointId("engine-2"): 0}

    def candidates() -> list[PlacementCandidate]:
        return [
            PlacementCandidate(name, here, 4, online=count, batch=1)
            for name, count in online.items()
        ]

    for number in range(1, 11):
        best = choose_endpoint(candidates(), here, random)
        assert best is not None
        wait_s = queue_wait_s(best, SERVICE_S)
        verdict = admit(
            wait_s=wait_s,
            target_s=TARGET_S,
            left_s=ALLOWED_S,
            allowed_s=ALLOWED_S,
            spread=random.random(),
        )
        if isinstance(verdict, Admit):
            online[best.endpoint] += 1
            print(f"request {number}: to {best.endpoint}, expected wait {wait_s:.2f} s")
        else:
            print(f"request {number}: refused, retry in {verdict.retry_after_s:.2f} s")
    print("room for another batch item:", pick_batch_endpoint(candidates()) is not None)


if __name__ == "__main__":
    main()
