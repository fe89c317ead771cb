//! The faults that a scenario injects between processes.

use serde::Deserialize;
use shorewharf_emulator::sockets::network_faults::NetworkFaultKind;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::error::{ScenarioError, check_range};
use crate::selection::Selection;

/// The latest begin and the longest duration that a fault may have, in seconds.
const MAX_SECONDS: f64 = 1e6;
/// The longest delay that a fault may cause, in milliseconds.
const MAX_DELAY_MS: f64 = 1e5;

const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// One injected fault.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct InjectedFault {
    /// The kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// When it begins, in seconds of the day.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "len_s", default)]
    pub duration_s: f64,
    /// The delay of messages, in milliseconds. Required for kinds that delay messages, not allowed for others.
    #[serde(rename = "by_ms")]
    pub delay_ms: Option<f64>,
    /// The affected balancers.
    #[serde(default)]
    pub balancers: Selection,
    /// The nodes whose connections with the balancers are affected; all if omitted.
    pub nodes: Option<Selection>,
    /// The peers whose gossip with the balancers is affected; all if omitted.
    #[serde(rename = "others")]
    pub gossip_peers: Option<Selection>,
}

impl InjectedFault {
    /// When the fault begins, in microseconds of the day.
    pub(crate) fn from(&self) -> Micros {
        micros_from_seconds(self.at_s)
    }

    /// When the fault ends, in microseconds of the day.
    pub(crate) fn to(&self) -> Micros {
        micros_from_seconds(self.at_s + self.duration_s)
    }

    /// The fault between processes that it injects; `None` for a fault of the store.
    pub(crate) fn network_fault(&self) -> Option<NetworkFaultKind> {
        let delay = micros_from_seconds(self.delay_ms.unwrap_or(0.0) / MILLISECONDS_PER_SECOND);
        Some(match self.kind {
            FaultKind::ConnectionsRefused => NetworkFaultKind::ConnectionsRefused,
            FaultKind::HalfOpen => NetworkFaultKind::HalfOpen,
            FaultKind::AnswersLost => NetworkFaultKind::AnswersLost,
            FaultKind::ConnectionsReset => NetworkFaultKind::ConnectionsReset,
            FaultKind::AnswersDelayed => NetworkFaultKind::AnswersDelayed(delay),
            FaultKind::EndpointListLost => NetworkFaultKind::EndpointListLost,
            FaultKind::GossipLost => NetworkFaultKind::GossipLost,
            FaultKind::GossipDuplicated => NetworkFaultKind::GossipDuplicated,
            FaultKind::GossipDelayed => NetworkFaultKind::GossipDelayed(delay),
            FaultKind::ProcessStopped => NetworkFaultKind::ProcessStopped,
            FaultKind::StoreSilent
            | FaultKind::StoreRefused
            | FaultKind::StoreAnswersLost
            | FaultKind::StoreEmptied => return None,
        })
    }

    /// Checks the values of the scenario's fault with this index, given what the balancers share.
    pub(crate) fn check(&self, index: usize, shared: SharedFeatures) -> Result<(), ScenarioError> {
        let key = |name: &str| format!("breaks[{index}].{name}");
        let invalid = |name: &str, cause: &str| Err(ScenarioError::invalid(key(name), cause));
        check_range(key("at_s"), self.at_s, MAX_SECONDS)?;
        check_range(key("len_s"), self.duration_s, MAX_SECONDS)?;
        match self.delay_ms {
            Some(delay_ms) if self.kind.has_delay() => check_range(key("by_ms"), delay_ms, MAX_DELAY_MS)?,
            None if self.kind.has_delay() => return invalid("by_ms", "is missing: this kind needs a delay"),
            Some(_) => return invalid("by_ms", "does not apply to this kind of fault"),
            None => {}
        }
        if self.kind.is_of_gossip() && !shared.gossip {
            return invalid("what", "needs together = true: the balancers don't gossip");
        }
        if self.gossip_peers.is_some() && !self.kind.is_of_gossip() {
            return invalid("others", "does not apply to this kind of fault");
        }
        if self.nodes.is_some() && !self.kind.is_of_nodes() {
            return invalid("nodes", "does not apply to this kind of fault");
        }
        if self.kind.is_of_store() && !shared.budgets {
            return invalid("what", "needs [budgets]: the balancers use no store");
        }
        if self.duration_s == 0.0 && !self.kind.is_instantaneous() {
            return invalid("len_s", "must be greater than 0 for this kind of fault");
        }
        Ok(())
    }
}

/// What the balancers of a scenario share.
#[derive(Clone, Copy)]
pub(crate) struct SharedFeatures {
    /// Whether the balancers gossip.
    pub(crate) gossip: bool,
    /// Whether the balancers share budgets in a store.
    pub(crate) budgets: bool,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// New connections to nodes are refused; established ones stay.
    #[serde(rename = "refused")]
    ConnectionsRefused,
    /// Connections to nodes are half open: no data passes and no connection is closed.
    #[serde(rename = "silent")]
    HalfOpen,
    /// Data that nodes send is lost; data that balancers send arrives.
    AnswersLost,
    /// Established connections are reset.
    #[serde(rename = "reset")]
    ConnectionsReset,
    /// Data that nodes send is delayed by `by_ms`.
    #[serde(rename = "slow")]
    AnswersDelayed,
    /// Data that discovery sends is lost.
    #[serde(rename = "news-lost")]
    EndpointListLost,
    /// Datagrams of gossip are lost.
    #[serde(rename = "notes-lost")]
    GossipLost,
    /// Datagrams of gossip arrive twice.
    #[serde(rename = "notes-doubled")]
    GossipDuplicated,
    /// Each datagram of gossip is delayed by up to `by_ms`.
    #[serde(rename = "notes-late")]
    GossipDelayed,
    /// Balancers' processes are stopped (SIGSTOP) and later continued.
    #[serde(rename = "stall")]
    ProcessStopped,
    /// The store does not answer, and its connections stay open. Faults of the store begin and end at whole seconds.
    StoreSilent,
    /// The store closes every connection.
    StoreRefused,
    /// The store executes requests, and its answers are lost.
    StoreAnswersLost,
    /// The store loses all data, once.
    StoreEmptied,
}

impl FaultKind {
    /// The kind's name in records and reports.
    pub fn label(self) -> &'static str {
        match self {
            FaultKind::ConnectionsRefused => "refused",
            FaultKind::HalfOpen => "silent",
            FaultKind::AnswersLost => "answerslost",
            FaultKind::ConnectionsReset => "reset",
            FaultKind::AnswersDelayed => "slow",
            FaultKind::EndpointListLost => "newslost",
            FaultKind::GossipLost => "noteslost",
            FaultKind::GossipDuplicated => "notesdoubled",
            FaultKind::GossipDelayed => "noteslate",
            FaultKind::ProcessStopped => "stall",
            FaultKind::StoreSilent => "storesilent",
            FaultKind::StoreRefused => "storerefused",
            FaultKind::StoreAnswersLost => "storeanswerslost",
            FaultKind::StoreEmptied => "storeemptied",
        }
    }

    /// Whether faults of this kind are between balancers and the store.
    pub fn is_of_store(self) -> bool {
        matches!(
            self,
            FaultKind::StoreSilent
                | FaultKind::StoreRefused
                | FaultKind::StoreAnswersLost
                | FaultKind::StoreEmptied
        )
    }

    /// Whether faults of this kind are between balancers.
    fn is_of_gossip(self) -> bool {
        matches!(self, FaultKind::GossipLost | FaultKind::GossipDuplicated | FaultKind::GossipDelayed)
    }

    /// Whether faults of this kind are between balancers and nodes.
    fn is_of_nodes(self) -> bool {
        let is_of_balancer = matches!(self, FaultKind::EndpointListLost | FaultKind::ProcessStopped);
        !is_of_balancer && !self.is_of_gossip() && !self.is_of_store()
    }

    fn has_delay(self) -> bool {
        matches!(self, FaultKind::AnswersDelayed | FaultKind::GossipDelayed)
    }

    /// Whether faults of this kind happen at one moment and so need no duration.
    fn is_instantaneous(self) -> bool {
        matches!(self, FaultKind::ConnectionsReset | FaultKind::StoreEmptied)
    }
}

/// A fault between balancers and the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// When it begins, in microseconds of the day.
    pub from: Micros,
    /// When it ends, in microseconds of the day.
    pub to: Micros,
    /// The indices of the affected balancers.
    pub balancers: Vec<u32>,
}
