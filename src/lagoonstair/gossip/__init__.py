"""Choice of the instances that gossip asks."""

from lagoonstair.gossip._targets import VoterView, choose_voter

__all__ = ["VoterView", "choose_voter"]
