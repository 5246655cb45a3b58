"""The second address, for operators: is the courier ready, its figures, and endpoints taken out and put back by hand.

Only imported where the configuration names a `console`. Reading order: `commands` (a line in, a reply out), `figures`
(what is counted), `front` (the connections). What an endpoint out by hand means is the core's and the module's matter.
"""
