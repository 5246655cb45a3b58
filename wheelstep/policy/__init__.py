"""Every decision of a sender. Its types, events and actions are in wheelstep/interface.py: read that first.

Reading order: `sender` (a batch, the list, what is taken on), `choice` (what goes next and where), `ranking`
(which destination's turn it is), `outcomes` (what an outcome teaches), `retry` (the design), `pacer` (limit
of a route, which is a destination or one of its separate routes), `endpoint` (health and way back),
`messages` (queue order), `holding` (what a sender has in hand).
"""
