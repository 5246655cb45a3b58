"""Order contracts of channels: what operators declare, and the position of each channel. Decides without I/O.

Reading order: `contracts` (declarations), `terms` (the stored terms, and the results of `book`), `position` (one
channel; `stored` decodes it), `line` (what a channel releases next), `book` (all channels of a courier, based on
`shelf` and `parts`). `kept`, `serving`, `content` and `front` connect them to the journal, the core, other couriers and
clients.
"""
