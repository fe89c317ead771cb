//! A process as a member of the fleet: its own record, the grants that it receives, and its terms as the
//! leader.
//!
//! [`Member`] is a state machine with a queue of operations, each of which makes one request to the store.
//! `own_record` handles its own record and its grants, `leadership` how it becomes the leader and acts as
//! one.

mod leadership;
mod own_record;

use std::collections::{BTreeMap, VecDeque};

use shorewharf_units::Micros;
use twox_hash::XxHash3_64;

use crate::allocations::Allocations;
use crate::leader::{Leader, MemberKey};
use crate::records::{
    BudgetAmounts, GRANT_PREFIX, Grant, GrantNumber, LEADER_KEY, MEMBER_PREFIX, MemberRecord, grant_key,
    member_key,
};
use crate::settings::BudgetSettings;
use crate::store_request::{NoResponse, Precondition, StoreRequest, StoreResponse};

use leadership::{LeaderView, Leadership};

/// The number of sent heartbeats that are kept with the time of sending.
const MAX_SENT_HEARTBEATS: usize = 64;
/// The number of low bits of a term or an incarnation that are derived from its owner. After the store was
/// rolled back, two members may count up to the same value. Grants of one must not be taken for grants of the
/// other.
const OWNER_BITS: u32 = 20;

/// Returns the term or the incarnation of this process that follows `number`.
fn next_number(number: u64, name: &str, incarnation: u64) -> u64 {
    let owner = XxHash3_64::oneshot_with_seed(incarnation, name.as_bytes()) >> (64 - OWNER_BITS);
    (((number >> OWNER_BITS) + 1) << OWNER_BITS) | owner
}

/// An operation of a member. Each operation makes one request to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Operation {
    /// Read the leader's record and the member's own grant.
    ReadLeaderAndGrant,
    /// Read the member's own record, since the known state of it is out of date.
    ReadOwnRecord,
    /// Write the member's own record.
    WriteHeartbeat,
    /// Read all members' records.
    ReadMembers,
    /// Write grants.
    WriteGrants,
    /// Read all grants before becoming the leader.
    ReadGrants,
    /// Become the leader by writing its record.
    BecomeLeader,
}

/// The known state of the member's own record in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OwnRecordState {
    Unknown,
    Absent,
    /// The record was last written in this revision.
    AtRevision(u64),
}

impl OwnRecordState {
    fn precondition(self, key: String) -> Option<Precondition> {
        match self {
            OwnRecordState::Unknown => None,
            OwnRecordState::Absent => Some(Precondition::Absent(key)),
            OwnRecordState::AtRevision(revision) => Some(Precondition::Unchanged(key, revision)),
        }
    }
}

/// A heartbeat that was sent.
#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    heartbeat: u64,
    sent_at: Micros,
}

/// Statistics of a member since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberStats {
    /// Requests to the store.
    pub requests: u64,
    /// Requests that write.
    pub writes: u64,
    /// Bytes written.
    pub bytes_written: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Grants that were ignored because a later one had been applied.
    pub outdated_grants: u64,
    /// Terms in which this member was the leader.
    pub terms_led: u64,
    /// Times that this member stopped being the leader.
    pub step_downs: u64,
}

/// A member of the fleet.
#[derive(Debug)]
pub struct Member {
    settings: BudgetSettings,
    name: String,
    incarnation: u64,
    heartbeat: u64,
    sent_heartbeats: VecDeque<SentHeartbeat>,
    own_record: OwnRecordState,
    /// Whether the member's own record has been written in this incarnation.
    has_joined: bool,
    /// Whether another process has taken this member's name.
    is_superseded: bool,
    /// The number of the last grant that was applied.
    acknowledged: GrantNumber,
    /// The highest term that was seen.
    term: u64,
    /// The record as the last heartbeat wrote it.
    announced: MemberRecord,
    /// Whether the next heartbeat is due at once, whenever the last one was sent.
    needs_heartbeat: bool,
    leader_view: Option<LeaderView>,
    leadership: Option<Leadership>,
    /// The members whose grants are in the last write, until its response arrives.
    unconfirmed_grants: Vec<MemberKey>,
    /// When the last write as the leader that was answered was sent.
    confirmed_at: Micros,
    /// The queued operations. The request of the first one has been sent if `sent_at` is set.
    operations: VecDeque<Operation>,
    sent_at: Option<Micros>,
    next_poll_at: Micros,
    next_heartbeat_at: Micros,
    /// The grants that were read before becoming the leader.
    loaded_grants: Vec<(String, Grant)>,
    is_leaving: bool,
    has_left: bool,
    stats: MemberStats,
}

impl Member {
    /// Creates a member of this name. `incarnation` has to be higher than that of any earlier process of this
    /// name. If a record of a higher one is found in the store, the member uses a number above that instead.
    pub fn new(now: Micros, settings: BudgetSettings, name: &str, incarnation: u64) -> Member {
        Member {
            settings,
            name: name.to_owned(),
            incarnation,
            heartbeat: 0,
            sent_heartbeats: VecDeque::new(),
            own_record: OwnRecordState::Unknown,
            has_joined: false,
            is_superseded: false,
            acknowledged: GrantNumber::default(),
            term: 0,
            announced: MemberRecord::default(),
            needs_heartbeat: false,
            leader_view: None,
            leadership: None,
            unconfirmed_grants: Vec::new(),
            confirmed_at: 0,
            operations: VecDeque::new(),
            sent_at: None,
            next_poll_at: now,
            next_heartbeat_at: now,
            loaded_grants: Vec::new(),
            is_leaving: false,
            has_left: false,
            stats: MemberStats::default(),
        }
    }

    /// Statistics since the start.
    pub fn stats(&self) -> MemberStats {
        self.stats
    }

    /// The current settings.
    pub fn settings(&self) -> &BudgetSettings {
        &self.settings
    }

    /// The leader's state; `None` if this member is not the leader.
    pub fn leader(&self) -> Option<&Leader> {
        self.leadership.as_ref().map(|leadership| &leadership.leader)
    }

    /// Whether another process has taken the name of this member. The member then uses nothing any more.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Whether the member has left or was superseded, and will never use a budget again.
    pub fn has_ended(&self) -> bool {
        self.has_left || self.is_superseded
    }

    /// Applies new settings.
    pub fn update_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
        self.needs_heartbeat = true;
    }

    /// Begins to leave gracefully. From now on, nothing of the member's allocations may be in use.
    pub fn leave(&mut self, now: Micros, allocations: &mut Allocations) {
        allocations.end_lease(now);
        allocations.set_reserve_from(Micros::MAX);
        (self.is_leaving, self.needs_heartbeat) = (true, true);
        self.leadership = None;
    }

    /// Returns the time from which [`Member::next_request`] may return a request.
    pub fn next_deadline(&self) -> Micros {
        if self.sent_at.is_some() || self.has_ended() {
            Micros::MAX
        } else if self.operations.is_empty() {
            self.next_poll_at
        } else {
            0
        }
    }

    /// Returns the next request to send if one is due and none is pending. Its response must be passed to
    /// [`Member::on_response`].
    pub fn next_request(&mut self, now: Micros, allocations: &mut Allocations) -> Option<StoreRequest> {
        if self.sent_at.is_some() || self.has_ended() {
            return None;
        }
        if self.operations.is_empty() {
            if now < self.next_poll_at {
                return None;
            }
            self.plan_operations(now, allocations);
        }
        while let Some(operation) = self.operations.front().copied() {
            if let Some(request) = self.request_for(now, operation, allocations) {
                self.sent_at = Some(now);
                self.count_request(&request);
                return Some(request);
            }
            self.operations.pop_front();
        }
        None
    }

    fn count_request(&mut self, request: &StoreRequest) {
        self.stats.requests += 1;
        if let StoreRequest::Write(batch) = request {
            self.stats.writes += 1;
            let length =
                |(key, text): &(String, Option<Vec<u8>>)| key.len() + text.as_ref().map_or(0, Vec::len);
            self.stats.bytes_written += batch.writes.iter().map(length).sum::<usize>() as u64;
        }
    }

    fn plan_operations(&mut self, now: Micros, allocations: &Allocations) {
        self.next_poll_at = now + self.settings.poll_interval;
        self.operations.push_back(Operation::ReadLeaderAndGrant);
        if self.own_record == OwnRecordState::Unknown {
            self.operations.push_back(Operation::ReadOwnRecord);
        }
        if self.is_heartbeat_due(now, allocations) {
            self.operations.push_back(Operation::WriteHeartbeat);
        }
        if self.leadership.is_some() {
            self.operations.extend([Operation::ReadMembers, Operation::WriteGrants]);
        }
    }

    /// Returns the request of an operation; `None` if the operation is no longer needed.
    fn request_for(
        &mut self,
        now: Micros,
        operation: Operation,
        allocations: &mut Allocations,
    ) -> Option<StoreRequest> {
        match operation {
            Operation::ReadLeaderAndGrant => {
                let grant = grant_key(&self.name, self.incarnation);
                Some(StoreRequest::Read(vec![LEADER_KEY.to_owned(), grant]))
            }
            Operation::ReadOwnRecord => Some(StoreRequest::Read(vec![member_key(&self.name)])),
            Operation::WriteHeartbeat => self.write_heartbeat(now, allocations),
            Operation::ReadMembers => {
                self.leadership.as_ref().map(|_| StoreRequest::List(MEMBER_PREFIX.to_owned()))
            }
            Operation::WriteGrants => self.write_grants(now),
            Operation::ReadGrants => Some(StoreRequest::List(GRANT_PREFIX.to_owned())),
            Operation::BecomeLeader => self.write_leader_record(),
        }
    }

    /// Processes the response to the pending request.
    pub fn on_response(
        &mut self,
        now: Micros,
        response: Result<StoreResponse, NoResponse>,
        allocations: &mut Allocations,
    ) {
        let (Some(sent_at), Some(operation)) = (self.sent_at.take(), self.operations.pop_front()) else {
            return;
        };
        let Ok(response) = response else {
            self.stats.unanswered += 1;
            return self.on_no_response(operation);
        };
        match (operation, response) {
            (Operation::ReadLeaderAndGrant, StoreResponse::Read(records)) => {
                self.on_leader_and_grant(now, sent_at, &records, allocations);
            }
            (Operation::ReadOwnRecord, StoreResponse::Read(records)) => {
                self.on_own_record(now, records.into_iter().next().flatten(), allocations);
            }
            (Operation::WriteHeartbeat, StoreResponse::Written(revision)) => {
                self.own_record = OwnRecordState::AtRevision(revision);
                self.has_joined = true;
                self.has_left = self.is_leaving;
            }
            (Operation::WriteHeartbeat, _) => {
                (self.own_record, self.needs_heartbeat) = (OwnRecordState::Unknown, true);
            }
            (Operation::ReadMembers, StoreResponse::Listed(records)) => self.on_member_records(now, &records),
            (Operation::WriteGrants, StoreResponse::Written(revision)) => {
                self.on_grants_written(sent_at, revision);
            }
            (Operation::WriteGrants, _) => self.step_down(),
            (Operation::ReadGrants, StoreResponse::Listed(records)) => self.on_grants(records),
            (Operation::BecomeLeader, StoreResponse::Written(revision)) => {
                self.become_leader(now, sent_at, revision);
            }
            _ => {}
        }
    }

    /// Handles a request without a response. Whether the store has executed it is unknown.
    fn on_no_response(&mut self, operation: Operation) {
        match operation {
            Operation::WriteHeartbeat => {
                (self.own_record, self.needs_heartbeat) = (OwnRecordState::Unknown, true);
            }
            // The next poll of the leader's record shows whether the grants were written.
            Operation::WriteGrants => {
                let unconfirmed = std::mem::take(&mut self.unconfirmed_grants);
                if let Some(leadership) = &mut self.leadership {
                    leadership.leader.on_grants_unconfirmed(&unconfirmed);
                }
            }
            _ => {}
        }
        self.operations.clear();
    }

    /// Returns the demand that the last heartbeat announced.
    pub fn announced_demand(&self) -> &BudgetAmounts {
        &self.announced.demand
    }

    /// Returns the amount of each budget that may be in use over all members; empty if this member is not the
    /// leader.
    pub fn possible_use(&self) -> BTreeMap<String, f64> {
        let Some(leader) = self.leader() else { return BTreeMap::new() };
        let budgets = self.settings.budgets.iter();
        budgets.map(|budget| (budget.name.clone(), leader.possible_use(&budget.name))).collect()
    }
}
