//! Defects that can be injected, one at a time. Each of them disables one mechanism on which safety depends.
//! They are injected at the interfaces of the real members (settings, messages to and from the store, clock
//! readings), so that the code under test contains no test switches.

use serde_json::{Value, json};

use super::store::ModelStore;
use crate::records::{LEADER_KEY, MEMBER_PREFIX, member_key, parse_grant_key};
use crate::settings::BudgetSettings;
use crate::store_request::{StoreRequest, StoreResponse};

/// The number of heartbeats that are confirmed before they are sent.
const HEARTBEATS_AHEAD: u64 = 3;
/// The term of forged grants.
const FORGED_TERM: u64 = 1_000_000;

/// An injected defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No margin is kept for the drift of clocks.
    NoClockMargin,
    /// A lease begins with the response, and not before the request is sent.
    LeaseCountedFromResponse,
    /// An allocation is read by a timer, and the cached value is still used after a stall.
    AllocationUsedAfterWaking,
    /// Older grants are accepted as new ones.
    GrantNumbersNotCompared,
    /// The leader's record is overwritten, whoever wrote it last.
    LeaderRecordNotCompared,
    /// A member's record is overwritten, whoever wrote it last, so that a process does not notice that
    /// another one has its name.
    MemberRecordNotCompared,
    /// Every grant counts as acknowledged.
    AcknowledgementSkipped,
    /// Members do not report what they use beyond their reserve.
    UseNotReported,
    /// The reserve is divided by fewer members than there are.
    ReserveDividedByTooFew,
    /// The reserve is also divided by demand.
    ReserveDividedTwice,
    /// The leader does not wait until connections have migrated after their allocation has ended.
    NoDrainTime,
    /// Heartbeats are confirmed before they are sent.
    HeartbeatsConfirmedAhead,
    /// One member takes over the leadership after a quarter of a lease.
    EarlyTakeover,
    /// Every member is granted its whole demand.
    DemandGranted,
}

/// The settings of a process with a defect.
#[derive(Clone, Debug)]
pub(super) struct ProcessSettings {
    /// The member's settings.
    pub member: BudgetSettings,
    /// The settings of its allocations.
    pub allocations: BudgetSettings,
}

impl Defect {
    /// All defects.
    pub const ALL: [Defect; 14] = [
        Defect::NoClockMargin,
        Defect::LeaseCountedFromResponse,
        Defect::AllocationUsedAfterWaking,
        Defect::GrantNumbersNotCompared,
        Defect::LeaderRecordNotCompared,
        Defect::MemberRecordNotCompared,
        Defect::AcknowledgementSkipped,
        Defect::UseNotReported,
        Defect::ReserveDividedByTooFew,
        Defect::ReserveDividedTwice,
        Defect::NoDrainTime,
        Defect::HeartbeatsConfirmedAhead,
        Defect::EarlyTakeover,
        Defect::DemandGranted,
    ];

    /// Injects the defect into the settings of a process.
    pub(super) fn inject_into_settings(self, settings: &BudgetSettings) -> ProcessSettings {
        let (mut member, mut allocations) = (settings.clone(), settings.clone());
        match self {
            Defect::NoClockMargin => member.clock_margin = 1,
            Defect::ReserveDividedByTooFew => allocations.max_members = (settings.max_members / 2).max(1),
            Defect::ReserveDividedTwice => member.reserve_ratio = 0.0,
            Defect::NoDrainTime => member.drain_time = 0,
            Defect::EarlyTakeover if settings.member_index == 0 => {
                (member.lease, member.poll_interval) = (settings.lease / 4, settings.poll_interval / 4);
            }
            _ => {}
        }
        allocations.member_index = allocations.member_index.min(allocations.max_members - 1);
        ProcessSettings { member, allocations }
    }

    /// Injects the defect into a request to the store.
    pub(super) fn inject_into_request(self, request: &mut StoreRequest, store: &ModelStore) {
        let StoreRequest::Write(batch) = request else { return };
        for (key, text) in &mut batch.writes {
            let value = text.as_ref().and_then(|text| serde_json::from_slice::<Value>(text).ok());
            let Some(mut value) = value else { continue };
            if self.inject_into_record(key, &mut value, store) {
                *text = serde_json::to_vec(&value).ok();
            }
        }
    }

    /// Injects the defect into a record that is written; returns whether the record has changed.
    fn inject_into_record(self, key: &str, value: &mut Value, store: &ModelStore) -> bool {
        let granted_to = parse_grant_key(key).map(|(member, _)| member_key(member));
        let member = granted_to.and_then(|key| serde_json::from_slice::<Value>(store.text(&key)?).ok());
        match (self, member) {
            (Defect::AcknowledgementSkipped, _) if key.starts_with(MEMBER_PREFIX) => {
                value["acked"][1] = json!(u64::MAX);
            }
            (Defect::UseNotReported, _) if key.starts_with(MEMBER_PREFIX) => value["holds"] = json!({}),
            (Defect::HeartbeatsConfirmedAhead, Some(member)) => {
                let heartbeat = member["beat"].as_u64().unwrap_or(0);
                value["heard"] = json!(heartbeat + HEARTBEATS_AHEAD);
            }
            (Defect::DemandGranted, Some(member)) => value["parts"] = member["wants"].clone(),
            _ => return false,
        }
        true
    }

    /// Injects the defect into a response of the store. `forged` is the number of forged grants so far.
    pub(super) fn inject_into_response(self, response: &mut StoreResponse, forged: &mut u64) {
        let (Defect::GrantNumbersNotCompared, StoreResponse::Read(records)) = (self, response) else {
            return;
        };
        for record in records.iter_mut().flatten() {
            if let Ok(mut value) = serde_json::from_slice::<Value>(&record.text)
                && value.get("parts").is_some()
            {
                *forged += 1;
                (value["term"], value["epoch"]) = (json!(FORGED_TERM), json!(*forged));
                record.text = serde_json::to_vec(&value).unwrap_or_default();
            }
        }
    }

    /// Returns the prefix of the keys whose preconditions the store does not check.
    pub(super) fn unchecked_prefix(self) -> Option<&'static str> {
        match self {
            Defect::LeaderRecordNotCompared => Some(LEADER_KEY),
            Defect::MemberRecordNotCompared => Some(MEMBER_PREFIX),
            _ => None,
        }
    }
}
