"""The daemons that run on the Kandy platform."""

from chivespoke.serving._assembly import find_coordinator
from chivespoke.serving._assembly import is_leading
from chivespoke.serving._assembly import make_entry
from chivespoke.serving._assembly import make_sidecar

__all__ = ['find_coordinator', 'is_leading', 'make_entry', 'make_sidecar']
