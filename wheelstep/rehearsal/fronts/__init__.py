"""Our daemon behind its other fronts, made to keep to the RELAY_* environment so that the rig can play it.

Only imported in a courier's own process: these modules import the daemon.
"""
