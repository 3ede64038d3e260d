"""The parts that work on the items of one daemon together: on their progress, order and runs.

It owns no state. `JobOwner` builds the parts; dispatching, stops and ends of runs use them.
"""

from dataclasses import dataclass

from troutswitch.decisions.jobs.item_endings import ItemEndings
from troutswitch.decisions.jobs.item_refusals import ItemRefusals
from troutswitch.decisions.jobs.item_retries import ItemRetries
from troutswitch.decisions.jobs.open_items import OpenItems
from troutswitch.decisions.jobs.ranking import ItemRanking
from troutswitch.decisions.jobs.runs import ItemRuns


@dataclass(frozen=True, slots=True)
class ItemParts:
    """Parts that share the items of one daemon."""

    items: OpenItems
    runs: ItemRuns
    ranking: ItemRanking
    refusals: ItemRefusals
    endings: ItemEndings
    retries: ItemRetries
