"""The client of the cloud."""

from sandladder.autoscaling.scaling_policy import ScaleOutRequest
from sandladder.model import ListedMachine, MachineType
from sandladder.protocol import wire
from sandladder.state import AdaptiveTokenBucket
from sandladder.transport import HttpError, Requester, Response


class CloudError(Exception):
    """The cloud gave no usable answer."""


class NoCapacityError(CloudError):
    """The cloud has none of these machines now."""


class CloudClient:
    """Requests to the cloud, counted against its rate limit."""

    def __init__(self, client: Requester, timeout: float, rps: float) -> None:
        """`timeout` in seconds; `rps`: the requests a second that the cloud takes."""
        self._client = client
        self._timeout = timeout
        self.requests = AdaptiveTokenBucket(rps)

    async def _request(self, method: str, target: str, body: bytes = b"") -> Response:
        self.requests.spend(1)
        try:
            answer = await self._client.request(method, target, body, timeout=self._timeout)
        except HttpError as error:
            raise CloudError(str(error)) from None
        if answer.status == 429:
            self.requests.refused(1)
            raise CloudError("over the rate limit")
        self.requests.allowed()
        if answer.status == 503 and b"no capacity" in answer.body:
            raise NoCapacityError
        if answer.status != 200:
            raise CloudError(f"status {answer.status}")
        return answer

    async def catalog(self) -> dict[str, MachineType]:
        return wire.parse_catalog((await self._request("GET", wire.CATALOG)).body)

    async def rent(self, name: str, rental: ScaleOutRequest) -> list[str]:
        """Rent machines; the same name may be asked again and rents nothing more."""
        body = wire.hire_body(name, rental.type, rental.zone, rental.spot, rental.number)
        return wire.parse_hired((await self._request("POST", wire.MACHINES, body)).body)

    async def give_back(self, machines: list[str]) -> None:
        """Return machines; once this returns they and all on them are gone."""
        await self._request("POST", wire.RETURN, wire.return_body(machines))

    async def machines(self) -> list[ListedMachine]:
        """The whole list, page by page."""
        found: list[ListedMachine] = []
        after = ""
        while True:
            start = f"after={after}&" if after else ""
            answer = await self._request("GET", f"{wire.MACHINES}?{start}most=500")
            page, more = wire.parse_machines(answer.body)
            found += page
            if not more or not page:
                return found
            after = page[-1].id
