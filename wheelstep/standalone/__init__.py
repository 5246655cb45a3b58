"""A courier without the platform, configured by one TOML file: partners, clients, routes and keys.

Imported only by `umberchute serve --config FILE` and the commands that read such a file.
"""
