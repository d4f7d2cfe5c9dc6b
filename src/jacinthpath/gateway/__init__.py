"""The gateway process: receives callers' requests and forwards them to servers.

The package has two layers. The decision modules are pure: they take time and randomness
as parameters and import no I/O. The service modules run them on one event loop. The
platform's wire names and formats are confined to :mod:`jacinthpath.platform`.
"""
