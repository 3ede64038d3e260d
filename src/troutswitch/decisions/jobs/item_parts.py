"""Bundle of the parts that manage the items of one daemon: progress, order and runs.

It owns no state. `JobOwner` builds the parts; `ItemDispatcher`, `RunStops` and `RunEnds` use them.
"""

from dataclasses import dataclass

from troutswitch.decisions.jobs.item_endings import ItemEndings
from troutswitch.decisions.jobs.item_refusals import ItemRefusals
from troutswitch.decisions.jobs.item_retries import ItemRetries
from troutswitch.decisions.jobs.item_versions import ItemVersions
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
    versions: ItemVersions
