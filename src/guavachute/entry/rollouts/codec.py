"""Converts the records of roll-outs to their stored form and back."""

from guavachute.decide.ingress.rollouts import record as rollout_record
from guavachute import ids
from guavachute import outcome
from guavachute.wire import node_updates

MAX_REASON_CHARACTERS = 200


def encode(record: rollout_record.Record, fence: int) -> bytes:
    """Encode a record, without its position.

    :param fence: the fencing token of the holder that writes it
    """
    return node_updates.encode(
        node_updates.RolloutRecord(
            request_id=record.request_id,
            request_position=record.request_position,
            target=record.target,
            duration_s=record.duration_s,
            begun_s=record.begun_s,
            changed_s=record.changed_s,
            step=record.step.value,
            share=record.share,
            withheld=list(record.withheld),
            old=list(record.old),
            requests=record.requests,
            sent=record.sent,
            reason=record.reason[:MAX_REASON_CHARACTERS],
            fence=fence,
        )
    )


def decode(
    value: bytes, service: ids.ServiceName, position: ids.LogPosition
) -> rollout_record.Record | outcome.Failure:
    """Decode the record of *service* at *position*."""
    fields = node_updates.decode_rollout(value)
    if isinstance(fields, outcome.Failure):
        return fields
    return rollout_record.Record(
        request_id=fields.request_id,
        request_position=fields.request_position,
        service=service,
        target=fields.target,
        duration_s=fields.duration_s,
        begun_s=fields.begun_s,
        changed_s=fields.changed_s,
        step=rollout_record.Step(fields.step),
        share=fields.share,
        withheld=tuple(fields.withheld[: rollout_record.MAX_VERSIONS]),
        old=tuple(fields.old[: rollout_record.MAX_VERSIONS]),
        requests=fields.requests,
        sent=fields.sent,
        reason=fields.reason[:MAX_REASON_CHARACTERS],
        position=position,
    )
