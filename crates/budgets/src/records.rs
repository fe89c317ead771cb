//! The records that members keep in the store, as JSON. The names of stored fields are fixed, since members of two
//! versions share one store; they are mapped to the names used in the code here and nowhere else.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The key of the leader's record.
pub const LEADER_KEY: &str = "head";
/// What the keys of members' records begin with.
pub const MEMBER_PREFIX: &str = "member/";
/// What the keys of grants begin with. Each incarnation has its own: what may still be in use by one must not be
/// forgotten for the next.
pub const GRANT_PREFIX: &str = "grant/";

/// An amount of each budget, by the budget's name.
pub type BudgetAmounts = BTreeMap<String, f64>;

/// Who leads. Each write of a leader rewrites it, provided that it is as that leader wrote it last.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// The leader's term, which only grows and is no other leader's.
    pub term: u64,
    /// Counts the leader's writes.
    #[serde(rename = "turn")]
    pub write_count: u64,
    /// The leader's name.
    pub leader: String,
    /// The leader's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The number of a grant: its leader's term, and its epoch within the term. Later grants have higher numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct GrantNumber {
    /// The leader's term.
    pub term: u64,
    /// Counts changes of allocations within the term.
    pub epoch: u64,
}

impl From<(u64, u64)> for GrantNumber {
    fn from((term, epoch): (u64, u64)) -> Self {
        GrantNumber { term, epoch }
    }
}

impl From<GrantNumber> for (u64, u64) {
    fn from(number: GrantNumber) -> Self {
        (number.term, number.epoch)
    }
}

/// A member's own record.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The incarnation of its process, higher than that of any before it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Counts its heartbeats.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// The highest term that it has seen.
    pub term: u64,
    /// The grant in force.
    #[serde(rename = "acked")]
    pub acknowledged: GrantNumber,
    /// What it could use.
    #[serde(rename = "wants")]
    pub demand: BudgetAmounts,
    /// What it uses beyond its reserve.
    #[serde(rename = "holds")]
    pub in_use: BudgetAmounts,
    /// The totals of the budgets by its settings.
    #[serde(rename = "wholes")]
    pub totals: BudgetAmounts,
    /// It has left in good order and uses nothing more.
    #[serde(rename = "left")]
    pub has_left: bool,
}

/// What a member is allocated.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The member's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The leader's term.
    pub term: u64,
    /// Counts changes of allocations within the term.
    pub epoch: u64,
    /// The member's last heartbeat that the leader has read.
    #[serde(rename = "heard")]
    pub heartbeat: u64,
    /// What it is allocated beside its reserve.
    #[serde(rename = "parts")]
    pub allocation: BudgetAmounts,
    /// What may be in use under this and earlier grants: what the next leader counts from.
    #[serde(rename = "may")]
    pub possible_use: BudgetAmounts,
}

impl Grant {
    /// The grant's number.
    pub fn number(&self) -> GrantNumber {
        GrantNumber { term: self.term, epoch: self.epoch }
    }
}

/// The key of a member's record.
pub fn member_key(member: &str) -> String {
    format!("{MEMBER_PREFIX}{member}")
}

/// The key of an incarnation's grant.
pub fn grant_key(member: &str, incarnation: u64) -> String {
    format!("{GRANT_PREFIX}{member}/{incarnation}")
}

/// The member and incarnation whose grant has this key; none if it is no grant's.
pub fn parse_grant_key(key: &str) -> Option<(&str, u64)> {
    let (member, incarnation) = key.strip_prefix(GRANT_PREFIX)?.rsplit_once('/')?;
    Some((member, incarnation.parse().ok()?))
}

/// The text of a record.
pub(crate) fn encode(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).expect("names are text and amounts are numbers")
}

/// The record of a text; none if it can't be read.
pub(crate) fn decode<T: DeserializeOwned>(text: &[u8]) -> Option<T> {
    serde_json::from_slice(text).ok()
}

/// The amount of a budget; 0 where it is missing or no valid amount.
pub(crate) fn amount_of(amounts: &BudgetAmounts, budget: &str) -> f64 {
    amounts.get(budget).copied().filter(|amount| amount.is_finite() && *amount > 0.0).unwrap_or(0.0)
}
