"""A fleet on one machine: many hollow couriers share a process, beside real ones in processes of their own.

Hollow (as Kubernetes' hollow nodes): the real code of membership, homes, list, forwarding and module on real sockets,
without a journal and without partners' sockets. Imported by nothing in the daemon. Reading order: `plan`, `downs`,
`links`, `net`, `partners`, `settings`, `desk`, `shelf`, `courier`, `traffic`, `host` (a process of hollow couriers),
`runner` (a real process behind the same links), `discovery`, `standin` (partners of real couriers), `nursery`, `real`,
`fleet` (all of it), `faults`, `day`, `figures`.
"""
