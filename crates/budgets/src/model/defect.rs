//! Defects that can be planted, one at a time: each leaves out one thing that safety rests on. They are planted at the
//! edges of the real members (in their settings, in what passes between them and the store, in how time is read), so
//! that the code under test has no switch in it.

use serde_json::{Value, json};

use super::store::ModelStore;
use crate::records::{LEADER_KEY, MEMBER_PREFIX, member_key, parse_grant_key};
use crate::settings::BudgetSettings;
use crate::store_request::{StoreRequest, StoreResponse};

/// Heartbeats that are confirmed before they are sent.
const HEARTBEATS_AHEAD: u64 = 3;
/// The term of forged grants.
const FORGED_TERM: u64 = 1_000_000;

/// A planted defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Nothing is left for clocks that drift apart.
    NoClockMargin,
    /// A lease counts from the response, not from before the request was sent.
    LeaseCountedFromResponse,
    /// An allocation is looked at by a timer, and used after waking.
    AllocationUsedAfterWaking,
    /// Older grants are taken for new ones.
    GrantNumbersNotCompared,
    /// The leader's record is written over, whoever wrote it last.
    LeaderRecordNotCompared,
    /// A member's record is written over, whoever wrote it last: a process does not notice that another has its name.
    MemberRecordNotCompared,
    /// Whatever is granted counts as acknowledged.
    AcknowledgementSkipped,
    /// What is in use under an allocation that was lowered is not reported.
    UseNotReported,
    /// The reserve is divided by fewer members than there are.
    ReserveDividedByTooFew,
    /// The reserve is divided by need as well.
    ReserveDividedTwice,
    /// Nobody waits until connections of an allocation that ended have migrated.
    NoDrainTime,
    /// Heartbeats are confirmed before they are sent.
    HeartbeatsConfirmedAhead,
    /// One member takes over after a quarter of a lease.
    EarlyTakeover,
    /// Everybody is granted its demand.
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

    /// Plants the defect in a process's settings.
    pub(super) fn in_settings(self, settings: &BudgetSettings) -> ProcessSettings {
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

    /// Plants the defect in a request on its way to the store.
    pub(super) fn in_request(self, request: &mut StoreRequest, store: &ModelStore) {
        let StoreRequest::Write(batch) = request else { return };
        for (key, text) in &mut batch.writes {
            let value = text.as_ref().and_then(|text| serde_json::from_slice::<Value>(text).ok());
            let Some(mut value) = value else { continue };
            if self.in_record(key, &mut value, store) {
                *text = serde_json::to_vec(&value).ok();
            }
        }
    }

    /// Plants the defect in a record that is written; returns whether it has changed.
    fn in_record(self, key: &str, value: &mut Value, store: &ModelStore) -> bool {
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

    /// Plants the defect in a response on its way back; `forged` counts forged grants.
    pub(super) fn in_response(self, response: &mut StoreResponse, forged: &mut u64) {
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

    /// The keys whose preconditions the store does not check, by their begin.
    pub(super) fn unchecked_prefix(self) -> Option<&'static str> {
        match self {
            Defect::LeaderRecordNotCompared => Some(LEADER_KEY),
            Defect::MemberRecordNotCompared => Some(MEMBER_PREFIX),
            _ => None,
        }
    }
}
