"""The image fetches of one fake machine, as the platform describes them.

A machine fetches an image once for all tasks that need it, gives the fetch up when no task waits for it any more, and
caches the images that it has. Images that are fetched at the same time share the machine's rate.
"""

from dataclasses import dataclass, field
from typing import NamedTuple


class AbandonedFetch(NamedTuple):
    """A fetch that was given up, because no task waited for the image any more."""

    image: str
    fetched_gb: float
    lasted_s: float


@dataclass
class FetchProgress:
    """A fetch that is under way."""

    began_at: float
    fetched_gb: float = 0.0


@dataclass
class ImageFetches:
    """Fetches images at `gb_per_s`, and remembers the fetches that were given up."""

    gb_per_s: float
    cached: set[str] = field(default_factory=set)
    fetching: dict[str, FetchProgress] = field(default_factory=dict)
    abandoned: list[AbandonedFetch] = field(default_factory=list)

    def advance(self, wanted_gb: dict[str, float], elapsed_s: float, now: float) -> None:
        """Fetch for `elapsed_s` seconds the images for which tasks wait; `wanted_gb` gives the size of each."""
        for image in [image for image in self.fetching if image not in wanted_gb]:
            progress = self.fetching.pop(image)
            self.abandoned.append(AbandonedFetch(image, progress.fetched_gb, now - progress.began_at))
        missing = {image: size for image, size in wanted_gb.items() if image not in self.cached}
        for image, size in missing.items():
            progress = self.fetching.setdefault(image, FetchProgress(now))
            progress.fetched_gb += self.gb_per_s * elapsed_s / len(missing)
            if progress.fetched_gb >= size:
                del self.fetching[image]
                self.cached.add(image)
