"""The merge of the parts' ranked rows to those of one answer. Pure."""

from heathwell.service.merging.ranked_rows import MalformedRowsError, MergedRows, PointId, Row, id_rank
from heathwell.service.merging.top_k_merge import TopKMerge

__all__ = ["MalformedRowsError", "MergedRows", "PointId", "Row", "TopKMerge", "id_rank"]
