//! Budgets of a whole fleet (set-ups a second, a tenant's connections), divided among balancers that come and go by
//! what each needs, and never exceeded in total.
//!
//! Balancers know of each other by records in a store ([`records`]). Each [`Member`] writes its own record ever anew, a
//! *heartbeat*, with what it needs and uses. One of them is the [`Leader`]: it reads all records and writes everybody a
//! *grant*, which names the last heartbeat that it has read. A grant is in force for one lease, counted from before
//! that heartbeat was sent, on the holder's own clock. The leader allocates it to others only after its holder has
//! acknowledged a smaller one, or one lease and a margin after it read that heartbeat. So no clocks have to agree, and
//! a member that stalls, is cut off, or reads what is old uses less than it was allocated, never more. Without the
//! store each member has a *reserve*, a fixed part by the greatest number of members, which is never allocated to
//! others.
//!
//! [`Allocations`] is what a request is held against: the time is looked at when one is admitted, not by a timer.
//!
//! Nothing here reads a clock or does I/O: [`Member::next_request`] returns the request to make to the store,
//! [`Member::on_response`] takes the response.

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
