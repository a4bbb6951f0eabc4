"""The client of the cloud that runs the instances."""

from sandladder.autoscaling.offers import ScaleOutRequest
from sandladder.errors import SandladderError
from sandladder.model import ListedMachine, MachineType
from sandladder.protocol import cloud_messages
from sandladder.state import AdaptiveTokenBucket
from sandladder.transport import HttpError, HttpRequester, Response

_OK, _OVER_RATE_LIMIT, _UNAVAILABLE = 200, 429, 503
# How many instances one request may return.
MOST_RETURNED = 100


class CloudError(SandladderError):
    """The cloud gave no usable answer.

    Attributes:
        status: the answer's HTTP status, or None if there was no whole answer.
    """

    def __init__(self, text: str, status: int | None = None) -> None:
        super().__init__(text)
        self.status = status


class NoCapacityError(CloudError):
    """The cloud has no instances of this offer now."""


class CloudClient:
    """Requests to the cloud, counted against its rate limit.

    Every method raises `CloudError` when there is no usable answer in time, and
    `MalformedMessageError` for an answer that makes no sense.  After an error, or cancelled,
    a request may have been carried out or not.
    """

    def __init__(self, client: HttpRequester, timeout: float, rps: float) -> None:
        """
        Args:
            client: sends the requests.
            timeout: how long to wait for an answer, in seconds.
            rps: the requests a second that the cloud takes from all controllers.
        """
        self._client = client
        self._timeout = timeout
        self.rate_limit = AdaptiveTokenBucket(rps)

    async def machine_types(self) -> dict[str, MachineType]:
        """The machine types that the cloud has, by name."""
        return cloud_messages.parse_catalog(
            (await self._request("GET", cloud_messages.CATALOG_PATH)).body
        )

    async def create_instances(self, name: str, request: ScaleOutRequest) -> list[str]:
        """Ask for instances; the names of those that were created, perhaps fewer.

        Args:
            name: names the request; asked again under the same name, nothing more is created.
            request: which instances, and how many.

        Raises:
            NoCapacityError: the cloud has none of these now.
        """
        body = cloud_messages.rental_body(
            name, request.type, request.zone, request.spot, request.number
        )
        return cloud_messages.parse_rented(
            (await self._request("POST", cloud_messages.MACHINES_PATH, body)).body
        )

    async def return_instances(self, machines: list[str]) -> None:
        """Return instances; once this returns they and all that ran on them are gone."""
        await self._request(
            "POST", cloud_messages.RETURN_PATH, cloud_messages.return_body(machines)
        )

    async def list_machines(self) -> list[ListedMachine]:
        """The whole list of machines, page by page; it may be older than the last one."""
        found: list[ListedMachine] = []
        after = ""
        while True:
            answer = await self._request("GET", cloud_messages.machines_target(after))
            page, more = cloud_messages.parse_machines(answer.body)
            found += page
            if not more or not page:
                return found
            after = page[-1].id

    async def _request(self, method: str, target: str, body: bytes = b"") -> Response:
        self.rate_limit.spend(1)
        try:
            answer = await self._client.request(method, target, body, timeout=self._timeout)
        except HttpError as error:
            raise CloudError(str(error)) from None
        if answer.status == _OVER_RATE_LIMIT:
            self.rate_limit.on_rejected(1)
            raise CloudError("over the rate limit", answer.status)
        self.rate_limit.on_allowed()
        if answer.status == _UNAVAILABLE and b"no capacity" in answer.body:
            raise NoCapacityError("no capacity", answer.status)
        if answer.status != _OK:
            raise CloudError(f"status {answer.status}", answer.status)
        return answer
