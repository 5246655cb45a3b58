"""The courier without the platform: partners, clients, routes and keys from an operator's own file.

Only imported by `umberchute serve --config FILE` and the commands that read such a file.
"""
