"""The gateway process: callers' requests in, requests to owning servers out.

The package has two layers. Decisions are pure: time and randomness are passed in,
and they import no input or output. Services run them on one event loop. What speaks
the platform's names is in :mod:`jacinthpath.platform`.
"""
