"""The demonstration: the whole system in one process, on loopback."""

from chivespoke.demo._settings import DemoSettings
from chivespoke.demo._settings import read_demo_settings

__all__ = ['DemoSettings', 'read_demo_settings']
