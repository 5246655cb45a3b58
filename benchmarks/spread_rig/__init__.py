"""What the measurements with many real couriers share: plan of a play, stand-in endpoints that queue, processes,
clients, choices with the truth known, figures. Reading order: `plan`, `desk`, `site`, `fleet`, `clients`, `figures`,
`play`. `growth` and `leaking_courier` belong to the long run through one courier.
"""
