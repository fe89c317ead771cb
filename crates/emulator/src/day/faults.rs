//! What goes wrong on a day, and when.

use serde::{Deserialize, Serialize};

use super::{Micros, in_s};

/// What goes wrong, and whom it strikes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What happens.
    pub kind: FaultKind,
    /// It begins then.
    #[serde(rename = "at_s", with = "in_s")]
    pub at: Micros,
    /// It lasts so long.
    #[serde(default, rename = "len_s", with = "in_s")]
    pub len: Micros,
    /// Its strength: a share, a factor or seconds, as the kind says.
    #[serde(default)]
    pub size: f64,
    /// Nodes, balancers or tenants struck, by place; empty for those that `zone` or `part` name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub on: Vec<u32>,
    /// Everything in this zone is struck.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<u32>,
    /// So large a part, drawn by the seed, is struck.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Processes die and come back cold after the length.
    Crash,
    /// Nodes keep their connections and say nothing for the length.
    Hang,
    /// Nodes are cut off from the network: silent, then reset.
    CutOff,
    /// Nodes accept and never answer an `OPEN`; probes are answered.
    HalfDead,
    /// Nodes do `size` of their work.
    Slow,
    /// Nodes fail `size` of the set-ups.
    Failing,
    /// Nodes reset `size` of their connections over the length.
    Resetting,
    /// Nodes turn everything new away.
    Full,
    /// Nodes answer nonsense.
    WrongAnswers,
    /// Nodes drain and are gone, and come back cold after the length, one after the other.
    Release,
    /// Nodes drain and are gone for good.
    Drain,
    /// The list runs `size` seconds further behind.
    ListStale,
    /// Discovery answers 503 and its watches end.
    ListDown,
    /// Discovery moves to another address; balancers are told by SIGHUP.
    ListMoved,
    /// `size` of the standing clients, or of those of the tenants at the places `on`, drop and come again within the
    /// length.
    Reconnect,
    /// Balancers are killed and come back after the length.
    BalancerKill,
    /// Balancers are ended by plan and come back after the length.
    BalancerRestart,
    /// Balancers are told SIGHUP.
    BalancerReload,
    /// Traffic is `size` times as much.
    Surge,
    /// Traffic of the tenant at place `on` is `size` times as much.
    TenantFlood,
}
