"""Agreement: a replicated log among three or five voters, followed by every other process of the fleet.

`raft` (the voters' states), `machine` (what the log is applied to), `feed` (who follows) and `agreement` (the three of
them as a part of a `members` station) have no I/O; `store` keeps a voter's part on disk, `service` is a daemon's.
Whoever needs an agreed order proposes to it."""
