"""Embedded fleet on simulated dependencies, and two sample deployments."""

from lagoonstair.demo._fleet import Fleet, FleetPlan
from lagoonstair.demo._samples import SCHEMA, load_sample

__all__ = ["SCHEMA", "Fleet", "FleetPlan", "load_sample"]
