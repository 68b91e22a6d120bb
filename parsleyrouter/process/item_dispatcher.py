"""Run the items of a part side by side and judge what their calls return."""

import random
import time

from parsleyrouter.ids import ItemIndex, RequestId
from parsleyrouter.process.call_port import Call
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.item_outcomes import Ended, RunAgain, judge_call
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.loop import Cancelled, Task
from parsleyrouter.process.part_loader import LoadedPart
from parsleyrouter.process.runner_context import RunnerTools
from parsleyrouter.request.batch_item import ItemOutcome, ItemResult, result_line

__all__ = ["ItemRuns"]

RESULT_LIMIT_BYTES = 8 * 1024 * 1024
CALL_DEADLINE_S = 3600.0
BYTES_PER_TOKEN = 4


class ItemRuns:
    """Hold the running items of one part."""

    def __init__(
        self, tools: RunnerTools, part: PartRecord, loaded: LoadedPart, condition: Condition
    ) -> None:
        self.tools = tools
        self.part = part
        self.items = loaded.items
        self.progress = loaded.progress
        self.condition = condition
        self.tasks: dict[ItemIndex, Task[None]] = {}
        self.dispatched: set[ItemIndex] = set()
        self.attempts: dict[ItemIndex, int] = {}
        self.tokens: dict[ItemIndex, str] = {}
        self.stopping = False

    def start(self) -> None:
        """Start as many items as may run at once."""
        room = self.tools.limits.items_at_once - len(self.tasks)
        for index in self.progress.take(room):
            self.tasks[index] = self.tools.loop.spawn(self._run(index), "batch item")

    def stop(self) -> None:
        """Let what is dispatched end and give up the rest."""
        self.stopping = True
        for index, task in list(self.tasks.items()):
            if index not in self.dispatched:
                task.cancel()

    def cancel(self) -> None:
        """Cancel every running item."""
        for task in list(self.tasks.values()):
            task.cancel()

    def slack_s(self) -> float:
        """Return the time to the deadline less the estimated time of the remaining items."""
        left_s = self.part.deadline_s - time.time()
        return left_s - self.tools.times.estimate_s(self.part, self.progress.remaining())

    async def _run(self, index: ItemIndex) -> None:
        try:
            judged = await self._call(index)
            if isinstance(judged, Ended):
                self._end(index, judged.result)
            else:
                await self._put_back(index, judged)
        except Cancelled:
            self.progress.left(index, not_run=index not in self.dispatched)
            raise
        finally:
            self.tasks.pop(index, None)
            self.dispatched.discard(index)
            self.condition.notify_all()

    async def _call(self, index: ItemIndex) -> Ended | RunAgain:
        repeatable = index in self.progress.repeatable
        begun_s = self.tools.loop.now()
        answer = await self.tools.calls.run(
            self._call_of(index, repeatable), on_dispatch=lambda: self._dispatched(index)
        )
        attempts = self.attempts.get(index, 0) + 1
        judged = judge_call(
            answer,
            repeatable=repeatable,
            dispatched=index in self.dispatched,
            attempts=attempts,
            attempts_allowed=self.tools.limits.attempts,
        )
        if isinstance(judged, Ended):
            self.tools.times.add_duration(self.part, self.tools.loop.now() - begun_s)
        elif judged.counted:
            self.attempts[index] = attempts
        return judged

    def _dispatched(self, index: ItemIndex) -> None:
        self.dispatched.add(index)
        if self.part.crashes:
            self.tools.metrics.takeover_items.inc()

    def _call_of(self, index: ItemIndex, repeatable: bool) -> Call:
        part = self.part
        item = self.items[index - part.first]
        settings = self.tools.kind(part).model_copy(update={"idempotent": repeatable})
        return Call(
            request=RequestId(f"{part.job}-{index}"),
            team=part.team,
            kind=part.kind,
            settings=settings,
            method="POST",
            path=item.path,
            body=item.body,
            model=item.model,
            application=item.application,
            headers={"content-type": "application/json"},
            deadline_in_s=CALL_DEADLINE_S,
            prompt_tokens=len(item.body) // BYTES_PER_TOKEN,
            output_tokens=item.output_tokens,
            prefix_key=f"{part.job}-{index}",
            job=part.job,
            slack_s=self.slack_s(),
            resume_token=self.tokens.get(index, ""),
        )

    async def _put_back(self, index: ItemIndex, again: RunAgain) -> None:
        """Queue an item anew; it is known here that it has ended or was not run."""
        self.dispatched.discard(index)
        self.tokens[index] = again.resume_token
        pause_s = max(again.pause_s, 0.0 if again.yielded else self.tools.limits.retry_s)
        await self.tools.loop.sleep(pause_s * random.uniform(0.75, 1.25))
        if self.stopping:
            self.progress.left(index, not_run=True)
        else:
            self.progress.again(index)

    def _end(self, index: ItemIndex, result: ItemResult) -> None:
        custom_id = self.items[index - self.part.first].custom_id
        line = result_line(index, custom_id, result)
        if len(line) > RESULT_LIMIT_BYTES:
            message = f"its answer is longer than {RESULT_LIMIT_BYTES} bytes: ask for less"
            result = ItemResult(ItemOutcome.ERROR, error=message)
            line = result_line(index, custom_id, result)
        self.progress.ended(index, line)
        self.tools.metrics.items.labels(result.outcome.value).inc()
