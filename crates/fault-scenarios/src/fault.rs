//! The faults that a scenario injects between processes.

use serde::Deserialize;
use shorewharf_emulator::sockets::network_faults::NetworkFaultKind;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::error::{ScenarioError, check_range};
use crate::selection::Selection;

/// The latest begin and the longest duration of a fault, in seconds.
const MAX_SECONDS: f64 = 1e6;
/// The longest delay, in milliseconds.
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
    /// By how much messages are delayed, in milliseconds.
    #[serde(rename = "by_ms")]
    pub delay_ms: Option<f64>,
    /// The affected balancers.
    #[serde(default)]
    pub balancers: Selection,
    /// The nodes to which the balancers' connections are affected; all if left out.
    pub nodes: Option<Selection>,
    /// The balancers to which gossip is affected; all if left out.
    #[serde(rename = "others")]
    pub gossip_peers: Option<Selection>,
}

impl InjectedFault {
    /// When the fault begins, on the day's clock.
    pub(crate) fn from(&self) -> Micros {
        micros_from_seconds(self.at_s)
    }

    /// When the fault ends, on the day's clock.
    pub(crate) fn to(&self) -> Micros {
        micros_from_seconds(self.at_s + self.duration_s)
    }

    /// What breaks between the processes; `None` for a fault of the store.
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

    /// Checks the values, given what the balancers of the scenario share.
    pub(crate) fn check(&self, index: usize, shared: Shared) -> Result<(), ScenarioError> {
        let key = |name: &str| format!("breaks[{index}].{name}");
        let invalid = |name: &str, cause: &str| Err(ScenarioError::invalid(key(name), cause));
        check_range(key("at_s"), self.at_s, MAX_SECONDS)?;
        check_range(key("len_s"), self.duration_s, MAX_SECONDS)?;
        match self.delay_ms {
            Some(delay_ms) if self.kind.has_delay() => check_range(key("by_ms"), delay_ms, MAX_DELAY_MS)?,
            None if self.kind.has_delay() => return invalid("by_ms", "is missing: how slow?"),
            Some(_) => return invalid("by_ms", "says nothing for this kind"),
            None => {}
        }
        if self.kind.is_of_gossip() && !shared.gossip {
            return invalid("what", "needs together = true: the balancers tell each other nothing");
        }
        if self.gossip_peers.is_some() && !self.kind.is_of_gossip() {
            return invalid("others", "says nothing for this kind");
        }
        if self.nodes.is_some() && !self.kind.is_of_nodes() {
            return invalid("nodes", "says nothing for this kind");
        }
        if self.kind.is_of_store() && !shared.budgets {
            return invalid("what", "needs [budgets]: there is no store");
        }
        if self.duration_s == 0.0 && !self.kind.is_instantaneous() {
            return invalid("len_s", "must be above 0");
        }
        Ok(())
    }
}

/// What the balancers of a scenario share.
#[derive(Clone, Copy)]
pub(crate) struct Shared {
    /// They gossip.
    pub(crate) gossip: bool,
    /// They share budgets in a store.
    pub(crate) budgets: bool,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// New connections to nodes are refused; established ones stay.
    #[serde(rename = "refused")]
    ConnectionsRefused,
    /// Connections to nodes are half open: nothing passes and nothing ends.
    #[serde(rename = "silent")]
    HalfOpen,
    /// What nodes send is lost; what balancers send arrives.
    AnswersLost,
    /// Established connections are reset.
    #[serde(rename = "reset")]
    ConnectionsReset,
    /// What nodes send is delayed.
    #[serde(rename = "slow")]
    AnswersDelayed,
    /// What discovery sends is lost.
    #[serde(rename = "news-lost")]
    EndpointListLost,
    /// Gossip is lost.
    #[serde(rename = "notes-lost")]
    GossipLost,
    /// Gossip arrives twice.
    #[serde(rename = "notes-doubled")]
    GossipDuplicated,
    /// Each datagram of gossip is delayed by up to `by_ms`.
    #[serde(rename = "notes-late")]
    GossipDelayed,
    /// Balancers are stopped and continued.
    #[serde(rename = "stall")]
    ProcessStopped,
    /// The store does not answer, and its connections stay open. Faults of the store begin and end at full seconds.
    StoreSilent,
    /// The store closes every connection.
    StoreRefused,
    /// The store does what is requested, and its answers are lost.
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

    /// Whether it is a fault between balancers and the store.
    pub fn is_of_store(self) -> bool {
        matches!(
            self,
            FaultKind::StoreSilent
                | FaultKind::StoreRefused
                | FaultKind::StoreAnswersLost
                | FaultKind::StoreEmptied
        )
    }

    /// Whether it is a fault between balancers.
    fn is_of_gossip(self) -> bool {
        matches!(self, FaultKind::GossipLost | FaultKind::GossipDuplicated | FaultKind::GossipDelayed)
    }

    /// Whether it is a fault between balancers and nodes.
    fn is_of_nodes(self) -> bool {
        let is_of_balancer = matches!(self, FaultKind::EndpointListLost | FaultKind::ProcessStopped);
        !is_of_balancer && !self.is_of_gossip() && !self.is_of_store()
    }

    fn has_delay(self) -> bool {
        matches!(self, FaultKind::AnswersDelayed | FaultKind::GossipDelayed)
    }

    /// Whether it happens at one moment rather than for some time.
    fn is_instantaneous(self) -> bool {
        matches!(self, FaultKind::ConnectionsReset | FaultKind::StoreEmptied)
    }
}

/// A fault between balancers and the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// When it begins, on the day's clock.
    pub from: Micros,
    /// When it ends, on the day's clock.
    pub to: Micros,
    /// The affected balancers.
    pub balancers: Vec<u32>,
}
