"""Stand-ins on loopback sockets: partners, platform, clients, and the courier's process.

May import `history`, `plan` and `warmth`. Read `wire` first, then `ledger`, `answering`, `partner`,
`platform`, `clients`, `machine`, `process`.
"""
