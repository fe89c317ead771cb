//! A member's own record and the grants that it receives.

use std::cmp::Ordering;

use shorewharf_units::Micros;

use super::{MAX_SENT_HEARTBEATS, Member, Operation, OwnRecordState, SentHeartbeat, next_number};
use crate::allocations::Allocations;
use crate::records::{Grant, MemberRecord, decode, encode, member_key};
use crate::store_request::{StoreRequest, StoredRecord, WriteBatch};

impl Member {
    /// Whether the member has to write its own record.
    pub(super) fn is_heartbeat_due(&self, now: Micros, allocations: &Allocations) -> bool {
        self.needs_heartbeat
            || now >= self.next_heartbeat_at
            || allocations.has_urgent_demand(&self.announced.demand)
    }

    pub(super) fn write_heartbeat(
        &mut self,
        now: Micros,
        allocations: &mut Allocations,
    ) -> Option<StoreRequest> {
        if !self.is_heartbeat_due(now, allocations) {
            return None;
        }
        let key = member_key(&self.name);
        let precondition = self.own_record.precondition(key.clone())?;
        self.heartbeat += 1;
        // The lease begins now, before the heartbeat is sent, and therefore before any leader can read it.
        self.sent_heartbeats.push_back(SentHeartbeat { heartbeat: self.heartbeat, sent_at: now });
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        let (demand, in_use) = allocations.demand_and_use(now);
        self.announced = MemberRecord {
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            term: self.term,
            acknowledged: self.acknowledged,
            demand,
            in_use,
            totals: allocations.totals(),
            has_left: self.is_leaving,
        };
        self.needs_heartbeat = false;
        self.next_heartbeat_at = now + self.settings.heartbeat_interval();
        let writes = vec![(key, Some(encode(&self.announced)))];
        Some(StoreRequest::Write(WriteBatch { preconditions: vec![precondition], writes }))
    }

    /// Processes the member's own grant after it was read.
    pub(super) fn on_grant(&mut self, now: Micros, grant: &Grant, allocations: &mut Allocations) {
        if grant.incarnation != self.incarnation || self.is_leaving {
            return;
        }
        let number = grant.number();
        if number < self.acknowledged {
            self.stats.outdated_grants += 1;
            return;
        }
        if number > self.acknowledged {
            allocations.apply_grant(now, &grant.allocation);
            self.acknowledged = number;
            self.term = self.term.max(grant.term);
            // Other members wait for the acknowledgement of a smaller allocation.
            self.needs_heartbeat = true;
            self.operations.push_back(Operation::WriteHeartbeat);
        }
        let named = self.sent_heartbeats.iter().find(|sent| sent.heartbeat == grant.heartbeat);
        if let Some(sent) = named {
            let until = sent.sent_at + self.settings.lease - self.settings.clock_margin;
            allocations.extend_lease(now, until);
        }
    }

    /// Processes the member's own record, which was read because the known state of it was out of date.
    pub(super) fn on_own_record(
        &mut self,
        now: Micros,
        stored: Option<StoredRecord>,
        allocations: &mut Allocations,
    ) {
        let Some(stored) = stored else {
            self.own_record = OwnRecordState::Absent;
            if !self.has_joined {
                allocations.set_reserve_from(now);
            }
            return;
        };
        self.own_record = OwnRecordState::AtRevision(stored.revision);
        let Some(record) = decode::<MemberRecord>(&stored.text) else { return };
        match record.incarnation.cmp(&self.incarnation) {
            Ordering::Equal if self.has_joined || record.heartbeat <= self.heartbeat => {}
            Ordering::Less if self.has_joined => {}
            Ordering::Greater if self.has_joined => self.on_superseded(now, allocations),
            _ => self.succeed(now, &record, allocations),
        }
    }

    /// Stops all use of the budgets, since a later process of this name exists.
    fn on_superseded(&mut self, now: Micros, allocations: &mut Allocations) {
        self.is_superseded = true;
        self.leadership = None;
        allocations.end_lease(now);
        allocations.set_reserve_from(Micros::MAX);
    }

    /// Succeeds an earlier process of this name, which may be alive and use the reserve until it reads this
    /// member's record.
    fn succeed(&mut self, now: Micros, earlier: &MemberRecord, allocations: &mut Allocations) {
        let next = next_number(earlier.incarnation, &self.name, self.incarnation);
        self.incarnation = self.incarnation.max(next);
        let settling_time = self.settings.lease + self.settings.clock_margin + self.settings.drain_time;
        allocations.set_reserve_from(if earlier.has_left { now } else { now + settling_time });
    }
}
