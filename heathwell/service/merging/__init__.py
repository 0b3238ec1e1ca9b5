"""From parts' ranked rows to one answer's: pure."""

from heathwell.service.merging.topk import Malformed, Merged, Row, TopK, id_rank

__all__ = ["Malformed", "Merged", "Row", "TopK", "id_rank"]
