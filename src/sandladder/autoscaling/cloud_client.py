"""The client of the cloud's API."""

from typing import NamedTuple

from sandladder import clock
from sandladder.autoscaling.offers import ScaleOutRequest
from sandladder.errors import SandladderError
from sandladder.model import ListedMachine, MachineType
from sandladder.protocol import MalformedMessageError, cloud_messages
from sandladder.state import AdaptiveTokenBucket
from sandladder.transport import HttpError, HttpRequester, Response

_OK, _TOO_MANY_REQUESTS, _SERVICE_UNAVAILABLE = 200, 429, 503
MAX_INSTANCES_PER_RETURN = 100


class CloudError(SandladderError):
    """The cloud returned no usable response.

    Attributes:
        status: the HTTP status of the response, or None if no complete response arrived.
    """

    def __init__(self, text: str, status: int | None = None) -> None:
        super().__init__(text)
        self.status = status


class NoCapacityError(CloudError):
    """The cloud has no capacity for this offer at present."""


class MachineList(NamedTuple):
    """A complete list of machines, whose pages may describe different times.

    A machine that it shows existed at `received_at` at the latest.  A machine that it does not show
    was missing at some time not before `requested_at` less the largest staleness of the list.

    Attributes:
        machines: the machines of all pages.
        pages: the number of pages.
        requested_at: when the first page was requested, in seconds on the steady clock.
        received_at: when the last page was received, likewise.
    """

    machines: list[ListedMachine]
    pages: int
    requested_at: float
    received_at: float


class CloudClient:
    """Sends requests to the cloud and counts them against its rate limit.

    Every method raises `CloudError` if no usable response arrives before the timeout, and
    `MalformedMessageError` if the response cannot be parsed.  After an error or a cancellation
    the request may or may not have been carried out.
    """

    def __init__(self, client: HttpRequester, timeout_s: float, rps: float) -> None:
        """Initialize the client with a full rate limit budget.

        Args:
            client: sends the requests.
            timeout_s: the timeout of a request, in seconds.
            rps: the cloud's rate limit for all controllers together, in requests per second.
        """
        self._client = client
        self._timeout_s = timeout_s
        self.rate_limit = AdaptiveTokenBucket(rps)

    async def machine_types(self) -> dict[str, MachineType]:
        """Return the cloud's machine types by name."""
        return cloud_messages.parse_catalog(
            (await self._request("GET", cloud_messages.CATALOG_PATH)).body
        )

    async def create_instances(self, name: str, request: ScaleOutRequest) -> list[str]:
        """Request instances and return the names of those created, possibly fewer.

        Args:
            name: the idempotency key; a request repeated under it creates nothing more.
            request: the offer and the number of instances.

        Raises:
            NoCapacityError: the cloud has no capacity for the offer at present.
        """
        body = cloud_messages.rental_body(
            name, request.type, request.zone, request.spot, request.number
        )
        return cloud_messages.parse_rented(
            (await self._request("POST", cloud_messages.MACHINES_PATH, body)).body
        )

    async def return_instances(self, machines: list[str]) -> None:
        """Return instances to the cloud; their tasks have ended when this method returns."""
        await self._request(
            "POST", cloud_messages.RETURN_PATH, cloud_messages.return_body(machines)
        )

    async def list_machines(self) -> MachineList:
        """Return the complete list of machines, which may be older than the previous one."""
        machines: list[ListedMachine] = []
        pages = 0
        requested_at = clock.now()
        after = ""
        while True:
            response = await self._request("GET", cloud_messages.machines_target(after))
            page, has_more = cloud_messages.parse_machines(response.body)
            machines += page
            pages += 1
            if not has_more:
                return MachineList(machines, pages, requested_at, clock.now())
            if not page or page[-1].id <= after:
                # Ending the list here would make the machines of further pages look missing.
                raise MalformedMessageError("a page that more follow must have later machines")
            after = page[-1].id

    async def _request(self, method: str, target: str, body: bytes = b"") -> Response:
        self.rate_limit.spend(1)
        try:
            response = await self._client.request(method, target, body, timeout=self._timeout_s)
        except HttpError as error:
            raise CloudError(str(error)) from None
        if response.status == _TOO_MANY_REQUESTS:
            self.rate_limit.on_rejected(1)
            raise CloudError("cloud rate limit exceeded", response.status)
        self.rate_limit.on_allowed()
        if response.status == _SERVICE_UNAVAILABLE and b"no capacity" in response.body:
            raise NoCapacityError("the cloud has no capacity for the offer", response.status)
        if response.status != _OK:
            raise CloudError(f"the cloud responded with status {response.status}", response.status)
        return response
