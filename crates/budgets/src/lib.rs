//! Divides the budgets of a fleet (connection set-ups per second, a tenant's connections) among its balancers
//! by demand. The total of a budget is never exceeded, even while balancers join, leave or fail.
//!
//! Balancers find each other by records in a store ([`records`]). Each [`Member`] writes its own record at
//! regular intervals, as a *heartbeat* that contains its demand and its use. One member is the [`Leader`]: it
//! reads all records and writes a *grant* for each member, which names the last heartbeat that the leader has
//! read. A grant is in force for one lease. The lease begins before that heartbeat was sent and is measured
//! by the holder's clock. The leader allocates the amount to other members only after the holder has
//! acknowledged a smaller grant, or one lease and a margin after the leader has read the heartbeat. Clocks
//! therefore do not need to agree, and a member that stalls, is partitioned, or reads stale records uses less
//! than it was allocated, never more. If the store is unavailable, each member still has its *reserve*: a
//! fixed share for the maximum number of members, which is never allocated to other members.
//!
//! [`Allocations`] is checked for each request. It compares the time when a request is admitted, and does not
//! depend on a timer.
//!
//! Nothing here reads a clock or does I/O: [`Member::next_request`] returns the request to send to the store,
//! and [`Member::on_response`] processes the response.

mod allocation;
mod allocations;
mod division;
mod leader;
mod member;
#[cfg(feature = "model")]
pub mod model;
pub mod records;
mod settings;
mod store_request;

pub use allocations::{Allocations, BudgetExhausted};
pub use division::Division;
pub use leader::Leader;
pub use member::{Member, MemberStats};
pub use settings::{Budget, BudgetKind, BudgetSettings, SettingsError};
pub use store_request::{NoResponse, Precondition, StoreRequest, StoreResponse, StoredRecord, WriteBatch};
