"""Fleet: membership of couriers, and ownership of the parts of the channels. Disabled unless the operator's file has
`[fleet]`.

Reading order: `types` (wire messages and actions), `packets` (sealing and opening), `membership` (failure detection),
`register` and `owner` (leases on parts), `assignment` (target owners), `node` (all of these combined, without I/O),
`daemon` (sockets and files).
"""
