"""Runs a courier under cProfile: `python profiled.py FILE serve ...` writes FILE when the courier ends.

Times are the thread's processor time, which doesn't include other processes of a busy machine.
"""

import cProfile
import runpy
import sys
import time

file = sys.argv.pop(1)
profile = cProfile.Profile(time.thread_time)
try:
    profile.runcall(runpy.run_module, "wheelstep.cli", run_name="__main__", alter_sys=True)
finally:
    profile.dump_stats(file)
