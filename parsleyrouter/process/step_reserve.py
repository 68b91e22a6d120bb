"""Keep slots free of batch items before a step of online demand."""

from parsleyrouter.demand import DemandForecasts
from parsleyrouter.ids import ItemIndex, ServiceName
from parsleyrouter.process.endpoint_loads import EndpointLoads
from parsleyrouter.process.job_run import JobRun
from parsleyrouter.request.item_state import WaitReason
from parsleyrouter.request.item_time import ItemTimes

__all__ = ["StepReserve", "reason_without_room"]


class StepReserve:
    """Ask the forecasts about items of this node's jobs; ``wall_ms`` is the time of day."""

    def __init__(self, loads: EndpointLoads, item_times: ItemTimes) -> None:
        self.loads = loads
        self.item_times = item_times

    def share(
        self, job_run: JobRun, index: ItemIndex, service: ServiceName, now: float, wall_ms: float
    ) -> float:
        """Return the share of an endpoint's slots that an item leaves free."""
        needed_s, left_s = self._times_s(job_run, index, wall_ms)
        return self.loads.demand.reserved_share(service, needed_s=needed_s, left_s=left_s, now=now)

    def allows(
        self, full_for: WaitReason, job_run: JobRun, index: ItemIndex, wall_ms: float
    ) -> bool:
        """Return whether an item may use slots that are kept free, on a route that is full."""
        if full_for is not WaitReason.RESERVED:
            return False
        return DemandForecasts.is_urgent(*self._times_s(job_run, index, wall_ms))

    def _times_s(self, job_run: JobRun, index: ItemIndex, wall_ms: float) -> tuple[float, float]:
        record = job_run.versioned.record
        spent_s = job_run.progress[index].spent_s if index in job_run.progress else 0.0
        needed_s = self.item_times.left_s(record.route, spent_s)
        return needed_s, (record.due_ms - wall_ms) / 1000


def reason_without_room(has_endpoints: bool, reserved_share: float) -> WaitReason:
    """Return what an item waits for that no endpoint takes."""
    if not has_endpoints:
        return WaitReason.NO_ENDPOINT
    return WaitReason.RESERVED if reserved_share else WaitReason.NO_ROOM
