"""Forwards messages, before they are journalled, from the process that a client reached to the one that delivers them.

Used by the workers of one courier (Unix sockets) and by couriers that divide destinations (sealed streams). May import
`courier.admission` and the journal's types. Reading order: `link`, `errors`, `heads`, `client` (the asking side),
`server` (the owner's side).
"""
