"""The console: a second address for operators, for readiness, metrics, and taking endpoints out of use by hand.

Only imported where the configuration names a `console`. Reading order: `commands` (a line in, a reply out), `metrics`
(counters and gauges), `front` (the connections). The effect of excluding an endpoint is decided by the core and the
decision module.
"""
