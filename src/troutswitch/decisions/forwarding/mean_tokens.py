"""Mean sizes of the requests and of the batch items that this daemon sent to engines."""

from dataclasses import dataclass

NEW_SAMPLE_WEIGHT = 0.05
"""Weight of the newest request in the mean; about the last 20 requests count."""


@dataclass(slots=True)
class MeanTokens:
    """Moving means of tokens; 0 until the first request of a kind."""

    online: float = 0.0
    batch: float = 0.0

    def add(self, tokens: int, is_batch: bool) -> None:
        """Adds a request that was sent."""
        if is_batch:
            self.batch = _moved(self.batch, tokens)
        else:
            self.online = _moved(self.online, tokens)


def _moved(mean: float, tokens: int) -> float:
    return mean + NEW_SAMPLE_WEIGHT * (tokens - mean) if mean else float(tokens)
