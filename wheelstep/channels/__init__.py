"""Order contracts of channels: what an operator declares, and the position of each channel. Decides without I/O.

Reading order: `contracts` (what is declared), `position` (one channel), `book` (all of a courier's).
"""
