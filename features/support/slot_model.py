"""A model of a slot table that checks each of its promises after every event."""

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
    SlotAsk,
    Usage,
)
from parsleyrouter.process.slot_table import SlotTable

HOLDER = Holder(NodeId("n"), Address("127.0.0.1:1"))
FOREVER_S = 1000.0


def make_ask(number: int, **more: object) -> SlotAsk:
    """Return an ask of its own attempt."""
    return SlotAsk(AttemptId(f"a{number}"), HOLDER, **more)


class SlotModel(RuleBasedStateMachine):
    """Drive a table and know of each attempt and grant how it must stand."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.count = 0
        self.granted: dict[AttemptId, GrantId] = {}
        self.waiting: set[AttemptId] = set()
        self.refused: set[AttemptId] = set()
        self.asks: dict[AttemptId, SlotAsk] = {}
        self.revoked: set[GrantId] = set()

    @initialize(
        slots=st.integers(1, 5),
        name=st.sampled_from(sorted(POLICIES)),
        share=st.sampled_from([0.0, 0.5, 1.0]),
        restore=st.booleans(),
        settled=st.booleans(),
    )
    def build(self, slots: int, name: str, share: float, restore: bool, settled: bool) -> None:
        self.name = name
        self.policy = POLICIES[name](SharingProfile(share, 0.5, restore))
        self.table = SlotTable(EndpointId("e"), slots, self.policy, "n.", settled=settled)

    def take(self, actions: list[Action]) -> None:
        """Follow the actions and check those that are wrong at once."""
        for action in actions:
            if isinstance(action, Granted):
                assert action.ask.attempt not in self.refused, "granted after a refusal"
                assert self.table.settled or not action.ask.batch, "batch before settling"
                assert self.granted.get(action.ask.attempt, action.grant) == action.grant
                self.granted[action.ask.attempt] = action.grant
                self.waiting.discard(action.ask.attempt)
                assert len(self.table.held) <= self.table.slots - self.table.foreign, "over slots"
            elif isinstance(action, Queued):
                self.waiting.add(action.ask.attempt)
            elif isinstance(action, Refused):
                assert action.ask.attempt not in self.granted, "refused with a grant"
                self.waiting.discard(action.ask.attempt)
                self.refused.add(action.ask.attempt)
            elif isinstance(action, Revoke):
                assert action.held.ask.batch, "online work revoked"
                assert action.held.grant not in self.revoked, "revoked twice"
                self.revoked.add(action.held.grant)

    @rule(
        batch=st.booleans(),
        team=st.sampled_from(["x", "y"]),
        weight=st.sampled_from([0.5, 1.0, 8.0]),
        deadline=st.floats(0.05, 5.0),
        again=st.booleans(),
    )
    def ask(self, batch: bool, team: str, weight: float, deadline: float, again: bool) -> None:
        self.count += 1
        ask = make_ask(
            self.count, batch=batch, team=TeamName(team), weight=weight, deadline_in_s=deadline
        )
        self.asks[ask.attempt] = ask
        actions = self.table.ask(ask, self.now)
        self.take(actions)
        if again and ask.attempt not in self.refused:
            repeated = self.table.ask(ask, self.now)
            assert len(repeated) == 1, "an ask made twice counts once"
            self.take(repeated)

    def _pick(self, pool: set | dict, choice: int) -> object:
        names = sorted(pool)
        return names[choice % len(names)] if names else None

    @rule(choice=st.integers(0, 50), ok=st.booleans(), tokens=st.integers(0, 50))
    def release(self, choice: int, ok: bool, tokens: int) -> None:
        attempt = self._pick(self.granted, choice)
        if attempt is not None:
            grant = self.granted.pop(attempt)
            self.take(self.table.release(grant, Usage(ok, 0.01, tokens), self.now))
            assert grant not in self.table.held

    @rule(choice=st.integers(0, 50))
    def withdraw(self, choice: int) -> None:
        attempt = self._pick(self.waiting, choice)
        if attempt is not None:
            self.waiting.discard(attempt)
            self.refused.add(attempt)
            self.take(self.table.withdraw(attempt, self.now))

    @rule(choice=st.integers(0, 50))
    def renew(self, choice: int) -> None:
        attempt = self._pick(self.granted, choice)
        if attempt is not None:
            grant = self.granted[attempt]
            lived = grant in self.table.held
            assert self.table.renew(grant, self.asks[attempt], self.now) == lived
            assert (grant in self.table.held) == lived, "an ended grant came back"

    @rule(elapsed=st.floats(0.01, 2.0))
    def wait(self, elapsed: float) -> None:
        self.now += elapsed
        self.take(self.table.tick(self.now))
        assert all(held.expires_s > self.now for held in self.table.held.values())

    @rule()
    def settle(self) -> None:
        self.take(self.table.settle(self.now))

    @rule(foreign=st.integers(0, 1))
    def correct(self, foreign: int) -> None:
        self.take(self.table.correct(foreign, self.now))

    @rule(slots=st.integers(1, 5))
    def resize(self, slots: int) -> None:
        self.take(self.table.resize(slots, self.policy, self.now))

    @rule()
    def leave_and_return(self) -> None:
        self.take(self.table.close(RefusalReason.LEAVING))
        assert not len(self.table.online) and not len(self.table.batch)
        self.table.reopen()

    @rule(batch=st.booleans())
    def adopt(self, batch: bool) -> None:
        self.count += 1
        ask = make_ask(self.count, batch=batch)
        self.asks[ask.attempt] = ask
        self.granted[ask.attempt] = GrantId(f"old.{self.count}")
        assert self.table.renew(self.granted[ask.attempt], ask, self.now)
        self.take(self.table.tick(self.now))

    @invariant()
    def online_is_not_behind_batch(self) -> None:
        if not hasattr(self, "table") or self.name != "online-first":
            return
        use = self.table.occupancy(self.now)
        if use.online_waiting:
            assert use.free <= 0, "a slot is free while online waits"
            left = use.batch - use.revoking
            assert left == 0 or use.revoking >= use.online_waiting, "batch keeps a slot"

    @invariant()
    def counts_agree(self) -> None:
        if not hasattr(self, "table"):
            return
        table = self.table
        assert table.batch_held == sum(held.ask.batch for held in table.held.values())
        assert table.revoking == sum(held.revoking for held in table.held.values())
        assert {e.ask.attempt for e in (*table.online, *table.batch)} == self.waiting
        assert set(table.held) <= set(self.granted.values()), "a grant that nobody was told of"

    def teardown(self) -> None:
        if hasattr(self, "table"):
            self.take(self.table.tick(self.now + FOREVER_S))
            assert not self.table.held and not self.waiting, "something never ended"
