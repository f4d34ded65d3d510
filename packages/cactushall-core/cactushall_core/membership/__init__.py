"""Membership of the fleet by gossip, after SWIM.

Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", DSN 2002.
"""
