"""The rig for measurements with many courier processes: the scenes to run, stand-in endpoints that queue calls,
processes, clients, baseline policies with complete knowledge, and statistics. Reading order: `plan`, `desk`, `site`,
`fleet`, `clients`, `figures`, `play`. `growth` and `leaking_courier` belong to the long run through one courier.
"""
