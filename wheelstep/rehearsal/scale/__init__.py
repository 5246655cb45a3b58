"""Runs a fleet on one machine: many hollow couriers per process, beside real couriers in their own processes.

A hollow courier (named after Kubernetes' hollow nodes) runs the real code of membership, homes, list, forwarding and
the decision module on real sockets, without a journal and without connections to partners. The daemon imports nothing
from here. Reading order: `plan`, `downs`, `links`, `net`, `partners`, `settings`, `desk`, `shelf`, `traffic`,
`courier`, `undivided`, `nursery`, `host` (a process of hollow couriers), `runner` (a real process with the run's delays
and cuts), `discovery`, `standin` (partners of real couriers), `real`, `clients`, `fleet` (all processes), `day`,
`figures`, `judge`, `play` (a whole run).
"""
