"""The account: where worth was lost, made from what couriers write into their logs. Off unless an operator asks for it.

`lines` (the lines' form) and `writer` (the daemon's side) are all that a courier imports. `course` (with `spans` and
`log`) decides what a message's time went on, `tally` adds up; they know no I/O. `umberchute account` reads the logs.
"""
