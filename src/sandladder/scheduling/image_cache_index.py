"""Which images the machines have, from committed starts and machine inventories.  Pure."""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from sandladder.model import Attempt, JobSpec, MachineType


class _CachedImage(NamedTuple):
    """An image in a machine's cache."""

    size_gb: float
    fetched_at: float  # on the steady clock; it is being fetched until then


class ImageCacheIndex:
    """Which images a machine has or fetches.

    What a machine's cache holds is derived from the starts that the records show, with its least
    recently used images evicted first.  Which machines *may* have an image is derived from the
    inventories too.
    """

    def __init__(self) -> None:
        # By machine and session: a machine that begins a new session has lost its cache.
        self._cached: dict[tuple[str, int], OrderedDict[str, _CachedImage]] = {}
        # By image, the machines that had it or fetched it at some time; more than have it now.
        self._candidates: dict[str, dict[str, None]] = {}

    def note_start(self, spec: JobSpec, attempt: Attempt, kind: MachineType, now: float) -> None:
        """Record that a task was started on a machine of a type, which fetches its image."""
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
        """Record that a controller's inventory lists these images for a machine."""
        for image in images:
            self._candidates.setdefault(image, {})[machine] = None

    def candidates(self, image: str) -> Iterable[str]:
        """The machines that may have an image; not all of them still have it."""
        return self._candidates.get(image, {}).keys()

    def wait_s(self, machine: str, session: int, image: str, now: float) -> float | None:
        """How long until the image is there, in seconds, or None if it must be fetched first."""
        cached = self._cached.get((machine, session))
        if cached is None or image not in cached:
            return None
        return max(0.0, cached[image].fetched_at - now)

    def names(self, machine: str, session: int) -> list[str]:
        """The images of a machine, the most recently used last."""
        return list(self._cached.get((machine, session), ()))

    def keep(self, machines: Collection[str]) -> None:
        """Forget all other machines."""
        for key in [key for key in self._cached if key[0] not in machines]:
            del self._cached[key]
        for image in list(self._candidates):
            kept = {name: None for name in self._candidates[image] if name in machines}
            if kept:
                self._candidates[image] = kept
            else:
                del self._candidates[image]
