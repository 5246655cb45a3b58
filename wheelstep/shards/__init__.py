"""Destinations divided into shards, and shards among the couriers of a fleet. Off unless the operator's file has
`[fleet.shards]`; without it nothing else of this package is imported.

Terms: the home of a shard is the courier that takes its messages; a guest takes them while the home cannot be asked; a
courier owes a message from taking it until its end is recorded; learned state is what a home knows of its endpoints'
health; control machines send each courier the list's rows of its shards.

May import `fleet` (membership, seals), `forwarding`, the courier's ports and the journal's types. Reading order:
`types`, `ports`, `ring`, `homes`, `list_server`, `list_client`, `hosting`, `handoff`, `router`, `streams`, `node`,
`daemon`.
"""
