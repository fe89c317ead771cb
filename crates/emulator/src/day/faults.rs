//! The faults of a day: what goes wrong, when, and which parties are affected.

use serde::{Deserialize, Serialize};

use super::{Micros, in_s};

/// A fault and the parties that it affects.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it begins.
    #[serde(rename = "at_s", with = "in_s")]
    pub at: Micros,
    /// How long it lasts.
    #[serde(default, rename = "len_s", with = "in_s")]
    pub len: Micros,
    /// Its strength: a share, a factor or seconds, depending on the kind.
    #[serde(default)]
    pub size: f64,
    /// Indices of the affected nodes, balancers or tenants; if empty, `zone` and `part` select them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<u32>,
    /// Restricts the fault to the machines of this zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<u32>,
    /// Restricts the fault to this share of the machines, drawn from the seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The processes of nodes crash and start again, cold, after the length.
    Crash,
    /// Nodes keep their connections and answer nothing for the length.
    Hang,
    /// Nodes are cut off from the network: nothing is received from them, and at the end their connections
    /// are reset.
    CutOff,
    /// Nodes accept connections and never answer an `OPEN`; they answer probes.
    HalfDead,
    /// Nodes work at the speed `size`, as a share of their own speed.
    Slow,
    /// Nodes fail a share `size` of the set-ups.
    Failing,
    /// Nodes reset a share `size` of their connections over the length.
    Resetting,
    /// Nodes answer every request with `BUSY`.
    Full,
    /// Nodes answer requests with lines that are not part of the protocol.
    WrongAnswers,
    /// Nodes drain for `size` seconds, stop, and start again, cold, after the length; one batch after the
    /// other.
    Release,
    /// Nodes drain for the length and stop for good.
    Drain,
    /// Discovery observes changes `size` seconds later than usual.
    ListStale,
    /// Calls to discovery fail, and its watches end.
    ListDown,
    /// Discovery moves to another address, which balancers learn at a SIGHUP.
    ListMoved,
    /// A share `size` of the established connections, or of those of the tenants `on`, is closed by the
    /// clients, which reconnect within the length.
    Reconnect,
    /// Balancers are killed and start again after the length.
    BalancerKill,
    /// Balancers shut down on a SIGTERM and start again after the length, one after the other.
    BalancerRestart,
    /// Balancers get a SIGHUP.
    BalancerReload,
    /// The traffic is multiplied by `size`.
    Surge,
    /// The traffic of the tenant `on` is multiplied by `size`.
    TenantFlood,
}
