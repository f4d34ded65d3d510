"""Repairs differences between the tables of two members, bucket by bucket."""

from __future__ import annotations

import random

from cactushall_core import addresses
from cactushall_core.membership import (
    member_actions,
    messages,
    records,
    table,
    transmitter,
)

MAX_BUCKETS_PER_DIGEST = 4

Body = messages.Digest | messages.BucketSummary | messages.RecordRequest


def send_digest(
    members: table.Table, sender: transmitter.Transmitter, rng: random.Random
) -> list[member_actions.Action]:
    """Send the digest of a table to a random member."""
    body = messages.Digest(members.digest())
    return [
        sender.send(target.member.gossip_address, body)
        for target in members.sample(1, sender.member_id, rng)
    ]


def handle_message(
    members: table.Table,
    sender: transmitter.Transmitter,
    rng: random.Random,
    source: addresses.Address,
    body: Body,
) -> list[member_actions.Action]:
    """Handle a step of the exchange with another member.

    Args:
        members: The own table.
        sender: Sends the answers.
        rng: Source of random choices.
        source: Gossip address of the other member.
        body: Its message.
    """
    if isinstance(body, messages.Digest):
        return _handle_digest(members, sender, rng, source, body)
    if isinstance(body, messages.BucketSummary):
        return _handle_bucket_summary(members, sender, source, body)
    found = [members.get(member) for member in body.ids]
    return sender.send_records(source, [record for record in found if record])


def _handle_digest(
    members: table.Table,
    sender: transmitter.Transmitter,
    rng: random.Random,
    source: addresses.Address,
    body: messages.Digest,
) -> list[member_actions.Action]:
    if not sender.has_budget:
        return []
    differing = members.differing_buckets(body.buckets)
    rng.shuffle(differing)
    return [
        sender.send(source, members.summary(bucket))
        for bucket in differing[:MAX_BUCKETS_PER_DIGEST]
    ]


def _handle_bucket_summary(
    members: table.Table,
    sender: transmitter.Transmitter,
    source: addresses.Address,
    body: messages.BucketSummary,
) -> list[member_actions.Action]:
    if not 0 <= body.bucket < table.BUCKETS:
        return []
    entries_by_id = {entry.id: entry for entry in body.entries}
    wanted = [
        entry.id
        for entry in body.entries
        if _is_entry_newer(entry, members.get(entry.id))
    ]
    offered = [
        record
        for record in members.records_in((body.bucket,))
        if _is_entry_older(entries_by_id.get(record.member.id), record)
    ]
    decided: list[member_actions.Action] = []
    if wanted:
        decided.append(sender.send(source, messages.RecordRequest(tuple(wanted))))
    return decided + sender.send_records(source, offered)


def _is_entry_newer(entry: messages.BucketEntry, known: records.Record | None) -> bool:
    if known is None:
        return True
    return records.supersedes(
        entry.incarnation, entry.status, known.incarnation, known.status
    )


def _is_entry_older(entry: messages.BucketEntry | None, known: records.Record) -> bool:
    if entry is None:
        return True
    return records.supersedes(
        known.incarnation, known.status, entry.incarnation, entry.status
    )
