"""Index of the images in machines' caches, from starts and inventories.  Pure."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from sandladder.model import Attempt, JobSpec, MachineType


class _CachedImage(NamedTuple):
    """An image in a machine's cache."""

    size_gb: float
    fetched_at: float  # on the steady clock; the end of its fetch


class ImageCacheIndex:
    """The images that each machine has or fetches.

    The content of a machine's cache is derived from committed starts, with least-recently-used
    eviction.  The machines that *may* have an image are derived from inventories as well.
    """

    def __init__(self) -> None:
        # By machine and agent epoch; a new epoch starts with an empty cache.
        self._cached: dict[tuple[str, int], OrderedDict[str, _CachedImage]] = {}
        # By image, the machines that have had it or fetched it; some may have evicted it since.
        self._candidates: dict[str, dict[str, None]] = {}

    def note_start(self, spec: JobSpec, attempt: Attempt, kind: MachineType, now: float) -> None:
        """Record a committed start, whose machine fetches the image if it does not have it."""
        machine = attempt.machine
        self._candidates.setdefault(spec.image, {})[machine] = None
        cached = self._cached.setdefault((machine, attempt.agent_epoch), OrderedDict())
        if spec.image in cached:
            cached.move_to_end(spec.image)
            return
        fetched_at = now + spec.image_gb / max(kind.fetch_gb_per_s, 1e-6)
        cached[spec.image] = _CachedImage(spec.image_gb, fetched_at)
        while len(cached) > 1 and sum(image.size_gb for image in cached.values()) > kind.cache_gb:
            cached.popitem(last=False)

    def note_inventory(self, machine: str, images: Iterable[str]) -> None:
        """Record the images that an inventory lists for a machine."""
        for image in images:
            self._candidates.setdefault(image, {})[machine] = None

    def candidates(self, image: str) -> Iterable[str]:
        """Return the machines that may have an image; some may have evicted it."""
        return self._candidates.get(image, {}).keys()

    def wait_s(self, machine: str, agent_epoch: int, image: str, now: float) -> float | None:
        """Return the time until an image is available, in seconds, or None if no fetch began."""
        cached = self._cached.get((machine, agent_epoch))
        if cached is None or image not in cached:
            return None
        return max(0.0, cached[image].fetched_at - now)

    def cached_images(self, machine: str, agent_epoch: int) -> list[str]:
        """Return the images of a machine, the most recently used last."""
        return list(self._cached.get((machine, agent_epoch), ()))

    def retain(self, machines: Collection[str]) -> None:
        """Drop all machines but these."""
        for key in [key for key in self._cached if key[0] not in machines]:
            del self._cached[key]
        for image in list(self._candidates):
            retained = {name: None for name in self._candidates[image] if name in machines}
            if retained:
                self._candidates[image] = retained
            else:
                del self._candidates[image]
