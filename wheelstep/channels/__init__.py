"""Order contracts of channels: what an operator declares, and the position of each channel. Decides without I/O.

Reading order: `contracts` (what is declared), `terms` (what of it is kept, and what the book tells), `position` (one
channel; `stored` reads it back), `line` (what goes out of one channel next), `book` (all of a courier's, on `shelf` and
`parts`).
"""
