"""Merges the ranked rows of parts into those of one answer, without any I/O."""

from heathwell.service.merging.ranked_rows import MalformedRowsError, MergedRows, PointId, Row, id_rank
from heathwell.service.merging.top_k_merge import TopKMerge

__all__ = ["MalformedRowsError", "MergedRows", "PointId", "Row", "TopKMerge", "id_rank"]
