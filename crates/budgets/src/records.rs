//! The records that members keep in the store, as JSON. The stored field names are fixed, since members of
//! two versions may share a store. Serde attributes here map them to the names that the code uses.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The key of the leader's record.
pub const LEADER_KEY: &str = "head";
/// The prefix of the keys of members' records.
pub const MEMBER_PREFIX: &str = "member/";
/// The prefix of the keys of grants. Each incarnation has its own key, so that a grant to the next incarnation
/// of a member does not replace the record of what an earlier one may still use.
pub const GRANT_PREFIX: &str = "grant/";

/// The amount of each budget, by the budget's name.
pub type BudgetAmounts = BTreeMap<String, f64>;

/// The leader's record. Each write of a leader replaces it, on the condition that it has not changed since
/// that leader's last write.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// The leader's term. Terms only increase, and no two leaders have the same one.
    pub term: u64,
    /// The number of the leader's writes in its term.
    #[serde(rename = "turn")]
    pub write_count: u64,
    /// The leader's name.
    pub leader: String,
    /// The leader's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The number of a grant: the leader's term and the epoch within that term. Later grants have higher numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct GrantNumber {
    /// The leader's term.
    pub term: u64,
    /// The number of changes of allocations within the term.
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
    /// The incarnation of the member's process, which is higher than that of any earlier process of this
    /// name.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The number of heartbeats of this incarnation.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// The highest term that the member has seen.
    pub term: u64,
    /// The number of the last grant that the member has applied.
    #[serde(rename = "acked")]
    pub acknowledged: GrantNumber,
    /// The amount that the member could use beyond its reserve.
    #[serde(rename = "wants")]
    pub demand: BudgetAmounts,
    /// The amount that the member uses beyond its reserve.
    #[serde(rename = "holds")]
    pub in_use: BudgetAmounts,
    /// The totals of the budgets in the member's settings.
    #[serde(rename = "wholes")]
    pub totals: BudgetAmounts,
    /// Whether the member has left gracefully and uses nothing any more.
    #[serde(rename = "left")]
    pub has_left: bool,
}

/// The allocations of one incarnation of a member.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// The member's incarnation.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The leader's term.
    pub term: u64,
    /// The number of changes of allocations within the term.
    pub epoch: u64,
    /// The member's last heartbeat that the leader has read.
    #[serde(rename = "heard")]
    pub heartbeat: u64,
    /// The amounts that the member is allocated in addition to its reserve.
    #[serde(rename = "parts")]
    pub allocation: BudgetAmounts,
    /// The amounts that may be in use under this grant and earlier ones. The next leader starts from these.
    #[serde(rename = "may")]
    pub possible_use: BudgetAmounts,
}

impl Grant {
    /// Returns the number of the grant.
    pub fn number(&self) -> GrantNumber {
        GrantNumber { term: self.term, epoch: self.epoch }
    }
}

/// Returns the key of a member's record.
pub fn member_key(member: &str) -> String {
    format!("{MEMBER_PREFIX}{member}")
}

/// Returns the key of the grant of an incarnation.
pub fn grant_key(member: &str, incarnation: u64) -> String {
    format!("{GRANT_PREFIX}{member}/{incarnation}")
}

/// Returns the member and the incarnation to which a grant of this key belongs; `None` if it is not the key
/// of a grant.
pub fn parse_grant_key(key: &str) -> Option<(&str, u64)> {
    let (member, incarnation) = key.strip_prefix(GRANT_PREFIX)?.rsplit_once('/')?;
    Some((member, incarnation.parse().ok()?))
}

/// Encodes a record as JSON.
pub(crate) fn encode(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).expect("names are text and amounts are numbers")
}

/// Decodes a record; returns `None` if it is invalid.
pub(crate) fn decode<T: DeserializeOwned>(text: &[u8]) -> Option<T> {
    serde_json::from_slice(text).ok()
}

/// Returns the amount of a budget; 0 if it is missing, negative or not finite.
pub(crate) fn amount_of(amounts: &BudgetAmounts, budget: &str) -> f64 {
    amounts.get(budget).copied().filter(|amount| amount.is_finite() && *amount > 0.0).unwrap_or(0.0)
}
