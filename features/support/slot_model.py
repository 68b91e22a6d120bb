"""State machine that checks the invariants of a slot table after every event."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from parsleyrouter.ids import Address, AttemptId, EndpointId, GrantId, NodeId, TeamName
from parsleyrouter.process.sharing_policies import POLICIES, SharingProfile
from parsleyrouter.process.slot_events import (
    Action,
    Granted,
    Holder,
    Queued,
    RefusalReason,
    Refused,
    Revoke,
    SlotRequest,
    SlotUsage,
)
from parsleyrouter.process.slot_table import SlotTable

HOLDER = Holder(NodeId("n"), Address("127.0.0.1:1"))
FOREVER_S = 1000.0


def make_request(number: int, **more: object) -> SlotRequest:
    """Return a slot request of a new attempt."""
    return SlotRequest(AttemptId(f"a{number}"), HOLDER, **more)


class SlotModel(RuleBasedStateMachine):
    """Run a slot table and track the expected state of each attempt and grant."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.count = 0
        self.granted: dict[AttemptId, GrantId] = {}
        self.waiting: set[AttemptId] = set()
        self.refused: set[AttemptId] = set()
        self.requests: dict[AttemptId, SlotRequest] = {}
        self.revoked: set[GrantId] = set()

    @initialize(
        slots=st.integers(1, 5),
        name=st.sampled_from(sorted(POLICIES)),
        share=st.sampled_from([0.0, 0.5, 1.0]),
        restore=st.booleans(),
        recovered=st.booleans(),
    )
    def build(self, slots: int, name: str, share: float, restore: bool, recovered: bool) -> None:
        self.name = name
        self.policy = POLICIES[name](SharingProfile(share, 0.5, restore))
        self.table = SlotTable(EndpointId("e"), slots, self.policy, "n.", recovered=recovered)

    def check_actions(self, actions: list[Action]) -> None:
        """Apply the actions to the model and check each of them."""
        for action in actions:
            if isinstance(action, Granted):
                assert action.request.attempt not in self.refused, "granted after a refusal"
                assert (
                    self.table.recovered or not action.request.batch
                ), "batch granted before recovery finished"
                assert self.granted.get(action.request.attempt, action.grant) == action.grant
                self.granted[action.request.attempt] = action.grant
                self.waiting.discard(action.request.attempt)
                assert (
                    len(self.table.held) <= self.table.slots - self.table.foreign
                ), "more grants than slots"
            elif isinstance(action, Queued):
                self.waiting.add(action.request.attempt)
            elif isinstance(action, Refused):
                assert action.request.attempt not in self.granted, "refused with a grant"
                self.waiting.discard(action.request.attempt)
                self.refused.add(action.request.attempt)
            elif isinstance(action, Revoke):
                assert action.held.request.batch, "online work revoked"
                assert action.held.grant not in self.revoked, "revoked twice"
                self.revoked.add(action.held.grant)

    @rule(
        batch=st.booleans(),
        team=st.sampled_from(["x", "y"]),
        weight=st.sampled_from([0.5, 1.0, 8.0]),
        deadline=st.floats(0.05, 5.0),
        again=st.booleans(),
    )
    def submit(self, batch: bool, team: str, weight: float, deadline: float, again: bool) -> None:
        self.count += 1
        request = make_request(
            self.count, batch=batch, team=TeamName(team), weight=weight, deadline_in_s=deadline
        )
        self.requests[request.attempt] = request
        actions = self.table.submit(request, self.now)
        self.check_actions(actions)
        if again and request.attempt not in self.refused:
            repeated = self.table.submit(request, self.now)
            assert len(repeated) == 1, "a repeated request returns one action"
            self.check_actions(repeated)

    def _choose(self, pool: set | dict, choice: int) -> object:
        names = sorted(pool)
        return names[choice % len(names)] if names else None

    @rule(choice=st.integers(0, 50), ok=st.booleans(), tokens=st.integers(0, 50))
    def release(self, choice: int, ok: bool, tokens: int) -> None:
        attempt = self._choose(self.granted, choice)
        if attempt is not None:
            grant = self.granted.pop(attempt)
            self.check_actions(self.table.release(grant, SlotUsage(ok, 0.01, tokens), self.now))
            assert grant not in self.table.held

    @rule(choice=st.integers(0, 50))
    def withdraw(self, choice: int) -> None:
        attempt = self._choose(self.waiting, choice)
        if attempt is not None:
            self.waiting.discard(attempt)
            self.refused.add(attempt)
            self.check_actions(self.table.withdraw(attempt, self.now))

    @rule(choice=st.integers(0, 50))
    def renew(self, choice: int) -> None:
        attempt = self._choose(self.granted, choice)
        if attempt is not None:
            grant = self.granted[attempt]
            was_held = grant in self.table.held
            assert self.table.renew(grant, self.requests[attempt], self.now) == was_held
            assert (grant in self.table.held) == was_held, "an ended grant was renewed"

    @rule(elapsed=st.floats(0.01, 2.0))
    def wait(self, elapsed: float) -> None:
        self.now += elapsed
        self.check_actions(self.table.tick(self.now))
        assert all(held.expires_s > self.now for held in self.table.held.values())

    @rule()
    def finish_recovery(self) -> None:
        self.check_actions(self.table.finish_recovery(self.now))

    @rule(foreign=st.integers(0, 1))
    def set_foreign(self, foreign: int) -> None:
        self.check_actions(self.table.set_foreign(foreign, self.now))

    @rule(slots=st.integers(1, 5))
    def resize(self, slots: int) -> None:
        self.check_actions(self.table.resize(slots, self.policy, self.now))

    @rule()
    def leave_and_return(self) -> None:
        self.check_actions(self.table.close(RefusalReason.LEAVING))
        assert not len(self.table.online_queue) and not len(self.table.batch_queue)
        self.table.reopen()

    @rule(batch=st.booleans())
    def adopt_grant(self, batch: bool) -> None:
        self.count += 1
        request = make_request(self.count, batch=batch)
        self.requests[request.attempt] = request
        self.granted[request.attempt] = GrantId(f"old.{self.count}")
        assert self.table.renew(self.granted[request.attempt], request, self.now)
        self.check_actions(self.table.tick(self.now))

    @invariant()
    def online_is_not_behind_batch(self) -> None:
        if not hasattr(self, "table") or self.name != "online-first":
            return
        use = self.table.occupancy(self.now)
        if use.online_waiting:
            assert use.free <= 0, "a slot is free while an online attempt waits"
            left = use.batch - use.revoking
            assert (
                left == 0 or use.revoking >= use.online_waiting
            ), "batch keeps a slot that online work needs"

    @invariant()
    def counts_agree(self) -> None:
        if not hasattr(self, "table"):
            return
        table = self.table
        assert table.batch_held == sum(held.request.batch for held in table.held.values())
        assert table.revoking == sum(held.revoking for held in table.held.values())
        assert {
            e.request.attempt for e in (*table.online_queue, *table.batch_queue)
        } == self.waiting
        assert set(table.held) <= set(self.granted.values()), "a grant was not reported"

    def teardown(self) -> None:
        if hasattr(self, "table"):
            self.check_actions(self.table.tick(self.now + FOREVER_S))
            assert not self.table.held and not self.waiting, "a grant or attempt never ended"
