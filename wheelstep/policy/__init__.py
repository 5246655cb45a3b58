"""All decisions of a sender. Its types, events and actions are in wheelstep/interface.py: read that first.

Then `sender` and `sender_state` (events, messages, keys), `dispatch`, `ranking` and `balancing` (what goes
where), `outcomes`, `endpoint` and `outage` (health), `retry` and `pacer` (limits), `messages`, `call_times`.
"""
