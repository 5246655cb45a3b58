"""Stand-ins on loopback sockets for partners, platform and clients, and the courier's process.

May import `history`, `plan` and `warmth`. Reading order: `wire`, `ledger`, `model`, `answering`, `partner`,
`platform`, `clients`, `machine`, `process`.
"""
