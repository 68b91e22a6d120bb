"""Who goes first when endpoints have too little room for all customers."""

from parsleyrouter.contention.batch_order import WaitingItem, claiming_nodes, fair_order
from parsleyrouter.contention.queue_share import FULL_SHARE, QueueShares
from parsleyrouter.contention.usual_rates import UsualRates

__all__ = [
    "FULL_SHARE",
    "QueueShares",
    "UsualRates",
    "WaitingItem",
    "claiming_nodes",
    "fair_order",
]
