"""Load and profile of `channels_cost.py`."""
