//! One process among the members: its own record, the grants that it receives, and its turn as the leader.
//!
//! [`Member`] is a state machine: it owns a queue of operations, of which each makes one request to the store.
//! `own_record` holds what concerns its own record and grants, `leadership` how it comes to lead and what it does then.

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

/// Heartbeats whose time of sending is remembered.
const MAX_SENT_HEARTBEATS: usize = 64;
/// Low bits of a term or an incarnation that come from whose it is: after a store was set back two members may count up
/// to the same one, and what was granted in the one must not pass for the other's.
const OWNER_BITS: u32 = 20;

/// The term, or the incarnation, of this process that follows another.
fn next_number(number: u64, name: &str, incarnation: u64) -> u64 {
    let owner = XxHash3_64::oneshot_with_seed(incarnation, name.as_bytes()) >> (64 - OWNER_BITS);
    (((number >> OWNER_BITS) + 1) << OWNER_BITS) | owner
}

/// What is to be done next; each operation makes one request to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Operation {
    /// Read the leader's record and the own grant.
    ReadLeaderAndGrant,
    /// Read the own record: what is known of it is out of date.
    ReadOwnRecord,
    /// Write the own record.
    WriteHeartbeat,
    /// Read all members' records.
    ReadMembers,
    /// Write grants.
    WriteGrants,
    /// Read all grants, before becoming the leader.
    ReadGrants,
    /// Become the leader by writing its record.
    BecomeLeader,
}

/// What is known of the own record in the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OwnRecordState {
    Unknown,
    Absent,
    /// It was last written in this revision.
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
    /// Those of them that write.
    pub writes: u64,
    /// Bytes written.
    pub bytes_written: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Grants that were passed over as older than one that was seen.
    pub outdated_grants: u64,
    /// Terms in which it was the leader.
    pub terms_led: u64,
    /// Times that it stopped leading.
    pub times_deposed: u64,
}

/// A member.
#[derive(Debug)]
pub struct Member {
    settings: BudgetSettings,
    name: String,
    incarnation: u64,
    heartbeat: u64,
    sent_heartbeats: VecDeque<SentHeartbeat>,
    own_record: OwnRecordState,
    /// The own record was written in this incarnation.
    has_joined: bool,
    /// Another process has taken the name.
    is_superseded: bool,
    /// The grant in force.
    acknowledged: GrantNumber,
    /// The highest term that was seen.
    term: u64,
    /// The record of the last heartbeat.
    announced: MemberRecord,
    /// A heartbeat is due, whenever the last one was.
    has_news: bool,
    leader_view: Option<LeaderView>,
    leadership: Option<Leadership>,
    /// Members whose grants were written last, until the response comes.
    unconfirmed_grants: Vec<MemberKey>,
    /// A leader's last write that was answered was sent then.
    confirmed_at: Micros,
    /// What is to be done, in order; the first one is under way if `sent_at` is set.
    operations: VecDeque<Operation>,
    sent_at: Option<Micros>,
    next_poll_at: Micros,
    next_heartbeat_at: Micros,
    /// Grants that were read before becoming the leader.
    loaded_grants: Vec<(String, Grant)>,
    is_leaving: bool,
    has_left: bool,
    stats: MemberStats,
}

impl Member {
    /// Creates a member of this name. `incarnation` has to be higher than that of any process of this name before;
    /// where a record of a higher one is found, a later one than that is taken.
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
            has_news: false,
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

    /// The settings in force.
    pub fn settings(&self) -> &BudgetSettings {
        &self.settings
    }

    /// The leader in its term, where this member leads.
    pub fn leader(&self) -> Option<&Leader> {
        self.leadership.as_ref().map(|leadership| &leadership.leader)
    }

    /// Whether another process has taken its name: then it uses nothing any more.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Whether it has left, or will never use anything again.
    pub fn has_ended(&self) -> bool {
        self.has_left || self.is_superseded
    }

    /// Applies other settings.
    pub fn update_settings(&mut self, settings: BudgetSettings) {
        self.settings = settings;
        self.has_news = true;
    }

    /// Begins to leave in good order: nothing of its allocations is in use any more.
    pub fn leave(&mut self, now: Micros, allocations: &mut Allocations) {
        allocations.end_lease(now);
        allocations.set_reserve_from(Micros::MAX);
        (self.is_leaving, self.has_news) = (true, true);
        self.leadership = None;
    }

    /// When [`Member::next_request`] has something to do.
    pub fn next_deadline(&self) -> Micros {
        if self.sent_at.is_some() || self.has_ended() {
            Micros::MAX
        } else if self.operations.is_empty() {
            self.next_poll_at
        } else {
            0
        }
    }

    /// The next request to make, if it is time for one and none is under way. Its response goes to
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

    /// The request of an operation; none where it is no longer needed.
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

    /// Takes the response to the request that is under way.
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
                (self.own_record, self.has_news) = (OwnRecordState::Unknown, true);
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

    /// A request had no response: whether it was carried out is not known.
    fn on_no_response(&mut self, operation: Operation) {
        match operation {
            Operation::WriteHeartbeat => {
                (self.own_record, self.has_news) = (OwnRecordState::Unknown, true);
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

    /// The demand that the last heartbeat announced.
    pub fn announced_demand(&self) -> &BudgetAmounts {
        &self.announced.demand
    }

    /// What may be in use of each budget over all members, where this member leads.
    pub fn possible_use(&self) -> BTreeMap<String, f64> {
        let Some(leader) = self.leader() else { return BTreeMap::new() };
        let budgets = self.settings.budgets.iter();
        budgets.map(|budget| (budget.name.clone(), leader.possible_use(&budget.name))).collect()
    }
}
