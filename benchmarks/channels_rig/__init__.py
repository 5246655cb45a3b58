"""The courier process, the load and the profiler that `channels_cost.py` and `message_cost.py` use."""
