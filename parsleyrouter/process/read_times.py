"""Times of reads from the key-value service, directly and through leaders of cells; in seconds."""

__all__ = [
    "ANSWER_MAX_AGE_S",
    "CALL_MARGIN_S",
    "CHANGES_WAIT_S",
    "DIRECT_PAUSE_JITTER",
    "DIRECT_READS_PER_S",
    "DIRECT_RETRY_S",
    "DIRECT_WAIT_S",
    "DISCOVERY_S",
    "FAILURE_RETENTION_S",
    "LEADER_RETRY_S",
    "PROOF_WAIT_S",
    "READ_PAUSE_S",
    "STANDBY_ANSWER_MAX_AGE_S",
    "STANDBY_PAUSE_S",
]

CHANGES_WAIT_S = 0.6
"""Long-poll time of reads of changes, within a cell and from a leader to the service. It bounds how
late the loss of either is detected."""

ANSWER_MAX_AGE_S = 1.25
"""Age of the service's last answer up to which a leader may answer others: one long poll, one slow
answer and some slack."""

DISCOVERY_S = 2.0
"""Time after the start in which a node may learn that it leads a cell of a large fleet."""

DIRECT_WAIT_S = 2.5
"""Long-poll time of direct reads on which no other node depends: they are billed, and a node makes
them until it asks its leader again."""

PROOF_WAIT_S = 2.5
"""The same for reads that prove what this node holds."""

DIRECT_READS_PER_S = 600.0
"""Reads of changes per second and prefix that nodes without a leader make together."""

DIRECT_PAUSE_JITTER = 0.3
"""Largest deviation of the pauses of such nodes, as a share."""

READ_PAUSE_S = 0.3
"""Pause between reads of registrations of endpoints, which may change several times a second; a
leaving endpoint must stop getting requests within two seconds."""

STANDBY_ANSWER_MAX_AGE_S = ANSWER_MAX_AGE_S + CHANGES_WAIT_S + READ_PAUSE_S
"""The same for the leader of a cell on standby, which reads from the leader of the active cell."""

STANDBY_PAUSE_S = 1.0
"""Minimum pause on standby between reads of changes that are gathered for a moment anyway."""

CALL_MARGIN_S = 0.3
"""Time in addition to the long poll in which a leader must answer; a call takes a millisecond."""

LEADER_RETRY_S = 3.0
"""How long a node reads directly after its leader has failed."""

DIRECT_RETRY_S = 1.5
"""Pause between direct reads that fail while the leader fails too."""

FAILURE_RETENTION_S = 10.0
"""How long a leader reports a failed call to the service; registrations are in doubt for less."""
