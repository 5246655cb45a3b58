"""All decisions of a sender. Its types, events and actions are in wheelstep/interface.py: read that first.

Reading order: `sender` (batches, the endpoint list, accepted messages), `dispatch` (which message goes next,
and where), `ranking` (the order of destinations), `balancing` (the order of endpoints), `outcomes` (what is
learned from an outcome), `retry` (retry control and the window of calls), `pacer` (the rate limit of a route:
a destination, or one of its separate routes), `endpoint` (health and recovery), `messages` (queue order),
`sender_state` (the state of a sender).
"""
