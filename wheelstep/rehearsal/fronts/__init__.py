"""Other fronts of our daemon, adapted to the RELAY_* environment so that the rig can play them.

These modules import the daemon, so they are imported only in a courier's own process.
"""
