"""Run the items of a part concurrently and handle the outcomes of their calls."""

import random
import time

from parsleyrouter.ids import ItemIndex, RequestId
from parsleyrouter.process.call_port import Call
from parsleyrouter.process.condition import Condition
from parsleyrouter.process.item_outcomes import ItemFinished, ItemRetry, decide_item
from parsleyrouter.process.job_records import PartRecord
from parsleyrouter.process.loop import Cancelled, Task
from parsleyrouter.process.part_loader import LoadedPart
from parsleyrouter.process.runner_context import RunnerContext
from parsleyrouter.request.batch_item import ItemOutcome, ItemResult, result_line

__all__ = ["ItemDispatcher"]

MAX_RESULT_BYTES = 8 * 1024 * 1024
CALL_DEADLINE_S = 3600.0
BYTES_PER_TOKEN = 4


class ItemDispatcher:
    """Dispatch the items of one part and track those that run."""

    def __init__(
        self, context: RunnerContext, part: PartRecord, loaded: LoadedPart, condition: Condition
    ) -> None:
        self.context = context
        self.part = part
        self.items = loaded.items
        self.progress = loaded.progress
        self.condition = condition
        self.tasks: dict[ItemIndex, Task[None]] = {}
        self.dispatched: set[ItemIndex] = set()
        self.attempts: dict[ItemIndex, int] = {}
        self.resume_tokens: dict[ItemIndex, str] = {}
        self.stopping = False

    def start(self) -> None:
        """Start items up to the limit of concurrent ones."""
        room = self.context.limits.items_at_once - len(self.tasks)
        for index in self.progress.take_ready(room):
            self.tasks[index] = self.context.loop.spawn(self._run(index), "batch item")

    def stop(self) -> None:
        """Let dispatched items end and cancel the others."""
        self.stopping = True
        for index, task in list(self.tasks.items()):
            if index not in self.dispatched:
                task.cancel()

    def cancel(self) -> None:
        """Cancel every running item."""
        for task in list(self.tasks.values()):
            task.cancel()

    def slack_s(self) -> float:
        """Return the time to the deadline minus the estimated time of the remaining items."""
        left_s = self.part.deadline_s - time.time()
        return left_s - self.context.times.estimate_s(self.part, self.progress.remaining())

    async def _run(self, index: ItemIndex) -> None:
        try:
            decision = await self._call(index)
            if isinstance(decision, ItemFinished):
                self._record_result(index, decision.result)
            else:
                await self._requeue(index, decision)
        except Cancelled:
            self.progress.leave_unfinished(index, not_run=index not in self.dispatched)
            raise
        finally:
            self.tasks.pop(index, None)
            self.dispatched.discard(index)
            self.condition.notify_all()

    async def _call(self, index: ItemIndex) -> ItemFinished | ItemRetry:
        repeatable = index in self.progress.repeatable
        started_s = self.context.loop.now()
        call_result = await self.context.calls.run(
            self._build_call(index, repeatable), on_dispatch=lambda: self._on_dispatched(index)
        )
        attempts = self.attempts.get(index, 0) + 1
        decision = decide_item(
            call_result,
            repeatable=repeatable,
            dispatched=index in self.dispatched,
            attempts=attempts,
            max_attempts=self.context.limits.attempts,
        )
        if isinstance(decision, ItemFinished):
            self.context.times.add_duration(self.part, self.context.loop.now() - started_s)
        elif decision.counts_as_attempt:
            self.attempts[index] = attempts
        return decision

    def _on_dispatched(self, index: ItemIndex) -> None:
        self.dispatched.add(index)
        if self.part.crashes:
            self.context.metrics.takeover_items.inc()

    def _build_call(self, index: ItemIndex, repeatable: bool) -> Call:
        part = self.part
        item = self.items[index - part.first]
        settings = self.context.kind_settings(part).model_copy(update={"idempotent": repeatable})
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
            resume_token=self.resume_tokens.get(index, ""),
        )

    async def _requeue(self, index: ItemIndex, retry: ItemRetry) -> None:
        """Queue an item again after a pause; its last call has ended or was not run."""
        self.dispatched.discard(index)
        self.resume_tokens[index] = retry.resume_token
        pause_s = max(retry.pause_s, 0.0 if retry.preempted else self.context.limits.retry_s)
        await self.context.loop.sleep(pause_s * random.uniform(0.75, 1.25))
        if self.stopping:
            self.progress.leave_unfinished(index, not_run=True)
        else:
            self.progress.requeue(index)

    def _record_result(self, index: ItemIndex, result: ItemResult) -> None:
        custom_id = self.items[index - self.part.first].custom_id
        line = result_line(index, custom_id, result)
        if len(line) > MAX_RESULT_BYTES:
            message = f"its answer is longer than {MAX_RESULT_BYTES} bytes: ask for less"
            result = ItemResult(ItemOutcome.ERROR, error=message)
            line = result_line(index, custom_id, result)
        self.progress.add_result(index, line)
        self.context.metrics.items.labels(result.outcome.value).inc()
