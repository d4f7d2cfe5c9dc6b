"""Client of the platform's list of live and leaving hosts, which may lag behind."""

from __future__ import annotations

__all__ = ["HostList", "HttpHostList", "ListedHost"]

from typing import NamedTuple, Protocol

import aiohttp

from .errors import StoreUnavailable


class ListedHost(NamedTuple):
    """One entry of the host list.

    :param host: name of the host.
    :param control_address: peer address of its control process.
    :param state: ``live`` or ``leaving``.
    """

    host: str
    data_centre: str
    region: str
    control_address: str
    state: str = "live"


class HostList(Protocol):
    """Source of the host list."""

    async def read(self) -> tuple[ListedHost, ...]:
        """Return the listed hosts; the list may lag behind the actual hosts."""


class HttpHostList:
    """Reads a host list as JSON over HTTP.

    :param url: URL of the list.
    :param call_timeout_s: timeout of a request.
    """

    def __init__(self, url: str, call_timeout_s: float = 1.0) -> None:
        self.url = url
        self.call_timeout_s = call_timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=self.call_timeout_s)
        )

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self) -> tuple[ListedHost, ...]:
        """See :meth:`HostList.read`.

        :raises StoreUnavailable: the list cannot be fetched or decoded.
        """
        try:
            async with self._session.get(self.url) as response:
                entries = (await response.json())["hosts"]
            return tuple(ListedHost(**entry) for entry in entries)
        except (TimeoutError, aiohttp.ClientError, TypeError, KeyError) as error:
            raise StoreUnavailable(
                "The host list cannot be read.", "Check host_list_url."
            ) from error
