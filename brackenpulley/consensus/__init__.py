"""Raft-replicated log among one, three or five voters, followed by every other process of the fleet.

`raft` implements a voter, `machine` the state machine that the log is applied to, `feed` the distribution of committed
entries to processes without a vote, and `agreement` combines the three as one part of a `members` station; none of them
does I/O. `store` persists a voter's state, and `service` runs all of it in a serving process. Parts that need a totally
ordered stream of commands propose them here.
"""
