"""Order the waiting batch items of several customers; performs no I/O.

Load: one customer has many jobs at many nodes, others a few, and slots are scarce.
"""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from parsleyrouter.ids import CustomerName

__all__ = ["WaitingItem", "claiming_nodes", "fair_order"]

Item = TypeVar("Item")

MAX_CLAIMS_PER_NODE = 4.0
"""Most claims for each node with waiting items, so that no slot stays free for long."""


@dataclass(frozen=True)
class WaitingItem(Generic[Item]):
    """An item that may be run now."""

    customer: CustomerName
    late: bool
    """Whether it can no longer be done in time."""
    rank: Any
    """Order among the items of its customer; the lowest runs first."""
    item: Item


def fair_order(
    waiting: Iterable[WaitingItem[Item]],
    running: Mapping[CustomerName, int],
    nodes: Mapping[CustomerName, int],
) -> list[Item]:
    """Return items in the order in which they are started.

    Those in time go before late ones; among them the customer with the fewest running items, with
    those that come before in this order. ``running`` counts the items at this node, ``nodes`` the
    nodes that run items of a customer: all of them count as much as this one.
    """
    queues: dict[CustomerName, list[WaitingItem[Item]]] = defaultdict(list)
    for one in waiting:
        queues[one.customer].append(one)
    for queue in queues.values():
        queue.sort(key=lambda one: (one.late, one.rank), reverse=True)
    counts = {customer: running.get(customer, 0) for customer in queues}

    def entry(customer: CustomerName) -> tuple[bool, int, Any, CustomerName]:
        head = queues[customer][-1]
        weight = max(1, nodes.get(customer, 1))
        return (head.late, (counts[customer] + 1) * weight, head.rank, customer)

    heap = [entry(customer) for customer in queues]
    heapq.heapify(heap)
    order: list[Item] = []
    while heap:
        customer = heapq.heappop(heap)[-1]
        order.append(queues[customer].pop().item)
        counts[customer] += 1
        if queues[customer]:
            heapq.heappush(heap, entry(customer))
    return order


def claiming_nodes(
    here: Iterable[CustomerName], nodes: Mapping[CustomerName, int], waiting_nodes: int
) -> float:
    """Return how many nodes of the weight of this one compete for free slots.

    A customer weighs one over all its nodes, whether they are many or few. ``here`` names the
    customers with jobs at this node, ``nodes`` the number of nodes of each customer.
    ``waiting_nodes`` have waiting items; many customers may have open jobs of which none waits.
    """
    weight = sum(1.0 / max(1, nodes.get(customer, 1)) for customer in set(here))
    total = len(set(here) | {customer for customer, count in nodes.items() if count})
    claims = total / weight if weight else 1.0
    return max(1.0, min(claims, MAX_CLAIMS_PER_NODE * waiting_nodes))
