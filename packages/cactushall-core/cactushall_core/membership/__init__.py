"""Gossip-based membership of the fleet, modelled on SWIM.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002.
"""
