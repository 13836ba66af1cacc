"""The demonstration: the whole system in one process, on loopback."""

from chivespoke.demo._client import EntryClient
from chivespoke.demo._cluster import Cluster
from chivespoke.demo._report import Measures
from chivespoke.demo._report import Reporter
from chivespoke.demo._settings import DEFAULT_SETTINGS
from chivespoke.demo._settings import DemoSettings
from chivespoke.demo._settings import read_demo_settings
from chivespoke.demo._story import Story

__all__ = [
    'Cluster',
    'DEFAULT_SETTINGS',
    'DemoSettings',
    'EntryClient',
    'Measures',
    'Reporter',
    'Story',
    'read_demo_settings',
]
