"""Decides whether an instance is cut off from what its callers need."""

from lagoonstair.reachability._contact import CONTACT_SECONDS, Contact

__all__ = ["CONTACT_SECONDS", "Contact"]
