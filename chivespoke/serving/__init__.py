"""The daemons that run on the Kandy platform."""

from chivespoke.serving._assembly import is_leading
from chivespoke.serving._assembly import make_entry
from chivespoke.serving._assembly import make_sidecar

__all__ = ['is_leading', 'make_entry', 'make_sidecar']
