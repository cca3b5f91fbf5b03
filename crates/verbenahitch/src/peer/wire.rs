//! Conversion between the schema's messages and the types of the crate.

use capnp::Error;

use crate::domain::{JobId, JobSpec, Millis, TaskId};
use crate::membership::{Beat, Member, OwnedShard, Role};
use crate::peer_capnp::{self, beat, member, request};
use crate::scheduler::Request;

/// Writes a record.
pub(super) fn write_member(from: &Member, mut to: member::Builder<'_>) {
    to.set_name(&from.name);
    to.set_zone(&from.zone);
    to.set_role(match from.role {
        Role::Gateway => peer_capnp::Role::Gateway,
        Role::Scheduler => peer_capnp::Role::Scheduler,
    });
    to.set_address(from.address.to_string().as_str());
    to.set_incarnation(from.incarnation);
    to.set_beat(from.beat);
    to.set_revision(from.revision);
    to.set_store_age(from.store_age_ms.unwrap_or(u64::MAX));
    to.set_permit_left(from.permit_left_ms);
    to.set_leaving(from.leaving);
    to.set_age(from.age_ms);
    let mut shards = to.init_shards(clamp_u32(from.shards.len() as u64));
    for (index, owned) in (0..).zip(&from.shards) {
        let mut to = shards.reborrow().get(index);
        to.set_shard(&owned.shard);
        to.set_epoch(owned.epoch);
        to.set_queued(owned.queued);
        to.set_running(owned.running);
    }
}

/// Reads a record.
pub(super) fn read_member(from: member::Reader<'_>) -> capnp::Result<Member> {
    let address = from.get_address()?.to_str()?;
    let address = address.parse();
    let address = address.map_err(|_| Error::failed("malformed address".to_owned()))?;
    let shards = from.get_shards()?.iter().map(|owned| {
        Ok(OwnedShard {
            shard: owned.get_shard()?.to_string()?,
            epoch: owned.get_epoch(),
            queued: owned.get_queued(),
            running: owned.get_running(),
        })
    });
    Ok(Member {
        name: from.get_name()?.to_string()?,
        zone: from.get_zone()?.to_string()?,
        role: match from.get_role()? {
            peer_capnp::Role::Gateway => Role::Gateway,
            peer_capnp::Role::Scheduler => Role::Scheduler,
        },
        address,
        incarnation: from.get_incarnation(),
        beat: from.get_beat(),
        revision: from.get_revision(),
        store_age_ms: Some(from.get_store_age()).filter(|age| *age != u64::MAX),
        permit_left_ms: from.get_permit_left(),
        shards: shards.collect::<capnp::Result<_>>()?,
        leaving: from.get_leaving(),
        age_ms: from.get_age(),
    })
}

/// Writes a beat.
pub(super) fn write_beat(from: &Beat, mut to: beat::Builder<'_>) {
    to.set_id(from.id);
    to.set_revision(from.revision);
    to.set_beat(clamp_u32(from.beat));
    to.set_age(clamp_u32(from.age_ms));
    to.set_store_age(from.store_age_ms.map_or(u32::MAX, clamp_u32));
    to.set_permit_left(clamp_u32(from.permit_left_ms));
}

/// Reads a beat.
pub(super) fn read_beat(from: beat::Reader<'_>) -> Beat {
    let store_age = Some(from.get_store_age()).filter(|age| *age != u32::MAX);
    Beat {
        id: from.get_id(),
        revision: from.get_revision(),
        beat: u64::from(from.get_beat()),
        age_ms: Millis::from(from.get_age()),
        store_age_ms: store_age.map(Millis::from),
        permit_left_ms: Millis::from(from.get_permit_left()),
    }
}

/// Writes a request to a shard.
pub(super) fn write_request(from: &Request, mut to: request::Builder<'_>) -> capnp::Result<()> {
    match from {
        Request::Submit { id, spec } => {
            let mut to = to.init_submit();
            to.set_id(id.as_str());
            to.set_profile(&spec.profile);
            to.set_tasks(spec.tasks);
            to.set_run_ms(spec.run_ms);
            to.set_payload(&spec.payload);
        }
        Request::Cancel(id) => to.set_cancel(id.as_str()),
        Request::Job(id) => to.set_job(id.as_str()),
        Request::Shard => to.set_shard(()),
        Request::Explain(task) => {
            let mut to = to.init_explain();
            to.set_job(task.job.as_str());
            to.set_index(task.index);
        }
        Request::Adopt(record) => {
            let record = serde_json::to_string(record);
            let record = record.map_err(|error| Error::failed(error.to_string()))?;
            to.set_adopt(&record);
        }
    }
    Ok(())
}

/// Reads a request to a shard.
pub(super) fn read_request(from: request::Reader<'_>) -> capnp::Result<Request> {
    Ok(match from.which()? {
        request::Submit(submit) => {
            let submit = submit?;
            Request::Submit {
                id: JobId::from(submit.get_id()?.to_string()?),
                spec: JobSpec {
                    profile: submit.get_profile()?.to_string()?,
                    tasks: submit.get_tasks(),
                    run_ms: submit.get_run_ms(),
                    payload: submit.get_payload()?.to_string()?,
                },
            }
        }
        request::Cancel(id) => Request::Cancel(JobId::from(id?.to_string()?)),
        request::Job(id) => Request::Job(JobId::from(id?.to_string()?)),
        request::Shard(()) => Request::Shard,
        request::Explain(task) => {
            let task = task?;
            Request::Explain(TaskId {
                job: JobId::from(task.get_job()?.to_string()?),
                index: task.get_index(),
            })
        }
        request::Adopt(record) => {
            let record = serde_json::from_str(record?.to_str()?);
            let record = record.map_err(|error| Error::failed(error.to_string()))?;
            Request::Adopt(record)
        }
    })
}

/// Limits a number to `u32::MAX - 1`, since `u32::MAX` means never.
fn clamp_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX).min(u32::MAX - 1)
}
