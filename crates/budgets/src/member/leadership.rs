//! How a member becomes the leader, and what it does as the leader.

use shorewharf_units::Micros;

use super::{Member, Operation, next_number};
use crate::allocations::Allocations;
use crate::leader::{GrantRound, Leader, TermStart};
use crate::records::{
    Grant, LEADER_KEY, LeaderRecord, MEMBER_PREFIX, MemberRecord, decode, encode, grant_key, member_key,
    parse_grant_key,
};
use crate::store_request::{Precondition, StoreRequest, StoredRecord, WriteBatch};

/// The leader's record as it was read.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ObservedLeader {
    revision: u64,
    record: LeaderRecord,
}

/// What this member has observed of the leader's record.
#[derive(Clone, Debug)]
pub(super) struct LeaderView {
    leader: Option<ObservedLeader>,
    /// The start of the time over which all polls have read the same record, without a gap between them.
    unchanged_since: Micros,
    /// When the last poll was sent.
    polled_at: Micros,
    /// The start of the time over which the store has been polled without a gap and has not been rolled back.
    store_intact_since: Micros,
}

impl LeaderView {
    /// Whether the store has not been rolled back between this observation and a record that was read later.
    fn is_intact(&self, later: Option<&ObservedLeader>) -> bool {
        let number = |leader: Option<&ObservedLeader>| {
            leader.map_or((0, 0), |leader| (leader.revision, leader.record.term))
        };
        let (before, after) = (number(self.leader.as_ref()), number(later));
        after.0 >= before.0 && after.1 >= before.1
    }
}

/// The state of a member that is the leader.
#[derive(Debug)]
pub(super) struct Leadership {
    pub leader: Leader,
    /// The revision of the leader's record.
    revision: u64,
    record: LeaderRecord,
}

impl Member {
    fn next_term(&self) -> u64 {
        next_number(self.term, &self.name, self.incarnation)
    }

    /// Returns the leader's record at the start of a term of this member.
    fn first_leader_record(&self, term: u64) -> LeaderRecord {
        LeaderRecord { term, write_count: 1, leader: self.name.clone(), incarnation: self.incarnation }
    }

    /// Processes the leader's record and the member's own grant after they were read.
    pub(super) fn on_leader_and_grant(
        &mut self,
        now: Micros,
        sent_at: Micros,
        records: &[Option<StoredRecord>],
        allocations: &mut Allocations,
    ) {
        let stored = |index: usize| records.get(index).and_then(Option::as_ref);
        let leader = stored(0).and_then(|stored| {
            Some(ObservedLeader { revision: stored.revision, record: decode(&stored.text)? })
        });
        if let Some(observed) = &leader
            && observed.record.term > self.term
        {
            // A new leader waits for records of members that are newer than its term.
            (self.term, self.needs_heartbeat) = (observed.record.term, true);
            self.operations.push_back(Operation::WriteHeartbeat);
        }
        self.on_leader_record(now, sent_at, leader);
        if let Some(grant) = stored(1).and_then(|stored| decode::<Grant>(&stored.text)) {
            self.on_grant(now, &grant, allocations);
        }
    }

    fn on_leader_record(&mut self, now: Micros, sent_at: Micros, leader: Option<ObservedLeader>) {
        if let Some(leadership) = &mut self.leadership {
            match leader {
                Some(observed) if observed.record == leadership.record => {
                    leadership.revision = observed.revision;
                }
                // The last write was not executed, or has not arrived yet. The next write has the same precondition,
                // so the store executes only one of them.
                Some(observed) if observed.revision == leadership.revision => {}
                _ => self.step_down(),
            }
            return;
        }
        // Between two polls that are far apart, another member may have been the leader and the store may
        // have been rolled back afterwards.
        let max_gap = self.settings.lease / 2;
        let recent = self.leader_view.as_ref().filter(|view| now < view.polled_at + max_gap);
        let unchanged = recent.filter(|view| view.leader == leader);
        let unchanged_since = unchanged.map_or(now, |view| view.unchanged_since);
        let intact = recent.filter(|view| view.is_intact(leader.as_ref()));
        let store_intact_since = intact.map_or(now, |view| view.store_intact_since);
        self.leader_view =
            Some(LeaderView { leader, unchanged_since, polled_at: sent_at, store_intact_since });
        let has_leader_expired = now >= unchanged_since + self.settings.lease + self.settings.clock_margin;
        if has_leader_expired && self.has_joined && !self.is_leaving {
            self.operations.extend([Operation::ReadGrants, Operation::BecomeLeader]);
        }
    }

    /// Processes the list of all grants.
    pub(super) fn on_grants(&mut self, records: Vec<(String, StoredRecord)>) {
        let grant = |(key, stored): (String, StoredRecord)| {
            let (member, _) = parse_grant_key(&key)?;
            Some((member.to_owned(), decode::<Grant>(&stored.text)?))
        };
        self.loaded_grants = records.into_iter().filter_map(grant).collect();
        let highest_term = self.loaded_grants.iter().map(|(_, grant)| grant.term).max().unwrap_or(0);
        self.term = self.term.max(highest_term);
    }

    pub(super) fn write_leader_record(&mut self) -> Option<StoreRequest> {
        let view = self.leader_view.as_ref()?;
        let precondition = match &view.leader {
            Some(observed) => Precondition::Unchanged(LEADER_KEY.to_owned(), observed.revision),
            None => Precondition::Absent(LEADER_KEY.to_owned()),
        };
        let record = self.first_leader_record(self.next_term());
        let writes = vec![(LEADER_KEY.to_owned(), Some(encode(&record)))];
        Some(StoreRequest::Write(WriteBatch { preconditions: vec![precondition], writes }))
    }

    /// Becomes the leader after its record was written.
    pub(super) fn become_leader(&mut self, now: Micros, sent_at: Micros, revision: u64) {
        let term = self.next_term();
        self.term = term;
        let record = self.first_leader_record(term);
        let grants = std::mem::take(&mut self.loaded_grants);
        let store_intact_since = self.leader_view.as_ref().map_or(now, |view| view.store_intact_since);
        let start = TermStart { now, term, store_intact_since };
        let leader = Leader::new(start, &self.settings, grants);
        self.leadership = Some(Leadership { leader, revision, record });
        self.confirmed_at = sent_at;
        self.stats.terms_led += 1;
        self.needs_heartbeat = true;
        self.operations.extend([
            Operation::ReadMembers,
            Operation::WriteHeartbeat,
            Operation::ReadMembers,
            Operation::WriteGrants,
        ]);
    }

    /// Processes the list of members' records.
    pub(super) fn on_member_records(&mut self, now: Micros, records: &[(String, StoredRecord)]) {
        let Some(leadership) = &mut self.leadership else { return };
        let record = |(key, stored): &(String, StoredRecord)| {
            let member = key.strip_prefix(MEMBER_PREFIX)?;
            Some((member.to_owned(), decode::<MemberRecord>(&stored.text)?))
        };
        let records = records.iter().filter_map(record).collect();
        leadership.leader.on_member_records(now, &self.settings, records);
        // If the store was rolled back, members may have seen a higher term than this one. They ignore grants
        // of a lower term.
        let highest_term = leadership.leader.highest_term();
        if highest_term > leadership.leader.term {
            let term = next_number(highest_term, &self.name, self.incarnation);
            leadership.record.term = term;
            leadership.leader.begin_term(term);
            self.term = term;
        }
    }

    pub(super) fn write_grants(&mut self, now: Micros) -> Option<StoreRequest> {
        let leadership = self.leadership.as_mut()?;
        // After a lease without a successful write, another member may already lead, and a store that was
        // rolled back may not show it.
        if now >= self.confirmed_at + self.settings.lease {
            self.step_down();
            return None;
        }
        let GrantRound { grants, departed } = leadership.leader.next_grants(now, &self.settings);
        // The record is written even without any grants, to show that the leader is alive.
        leadership.record.write_count += 1;
        let mut writes = vec![(LEADER_KEY.to_owned(), Some(encode(&leadership.record)))];
        self.unconfirmed_grants = grants.iter().map(|(member, _)| member.clone()).collect();
        writes.extend(
            grants
                .iter()
                .map(|(member, grant)| (grant_key(&member.name, grant.incarnation), Some(encode(grant)))),
        );
        if let Some(departed) = departed {
            writes.push((grant_key(&departed.key.name, departed.key.incarnation), None));
            if departed.is_last_of_name {
                writes.push((member_key(&departed.key.name), None));
            }
        }
        let precondition = Precondition::Unchanged(LEADER_KEY.to_owned(), leadership.revision);
        Some(StoreRequest::Write(WriteBatch { preconditions: vec![precondition], writes }))
    }

    pub(super) fn on_grants_written(&mut self, sent_at: Micros, revision: u64) {
        self.confirmed_at = sent_at;
        if let Some(leadership) = &mut self.leadership {
            leadership.revision = revision;
        }
    }

    /// Stops being the leader.
    pub(super) fn step_down(&mut self) {
        if self.leadership.take().is_some() {
            self.stats.step_downs += 1;
        }
        // Other members may have written since, so the observation of the leader's record starts again.
        self.leader_view = None;
    }
}
