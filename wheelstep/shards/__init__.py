"""Destinations divided among the couriers of a fleet. Off unless the operator's file has `[fleet.shards]`; then no more
is imported than that.

May import `fleet` (membership, seals), `forwarding`, the courier's ports and the journal's types. Reading order:
`types`, `ports`, `ring`, `homes`, `list_server`, `list_client`, `hosting`, `handoff`, `router`, `streams`,
`node`, `daemon`.
"""
