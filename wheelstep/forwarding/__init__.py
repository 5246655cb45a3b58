"""Messages passed on, before they are journalled, from the process that a client reached to the one that will owe them.

Used by the workers of one courier (Unix sockets) and by couriers that divide destinations (sealed streams). May import
the clients' side's `desk` and the journal's types. Reading order: `link`, `errors`, `heads`, `client` (asks),
`server` (is asked).
"""
