//! A day: all parameters of the platform for one run, as stated in a scenario file.
//!
//! Everything that is drawn from the seed (arrivals, lifetimes, loads, delays, the parties that faults
//! affect) depends on these parameters alone. Durations in a file are in seconds or milliseconds, as the
//! suffix of the key says; in the program all are whole microseconds.

mod faults;

use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

pub use faults::{Fault, FaultKind};

/// (De)serializes microseconds as seconds.
pub mod in_s {
    use serde::{Deserialize, Deserializer, Serializer};
    use shorewharf_units::seconds_from_micros;

    /// Writes seconds.
    ///
    /// # Errors
    ///
    /// Fails if the serializer does.
    pub fn serialize<S: Serializer>(t: &u64, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_f64(seconds_from_micros(*t))
    }
    /// Reads seconds; rejects values that are not a number, negative or too long.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a number, negative or longer than a year.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
        super::micros(f64::deserialize(d)?, 1e6).map_err(serde::de::Error::custom)
    }
}

/// (De)serializes microseconds as milliseconds.
pub mod in_ms {
    use serde::{Deserialize, Deserializer, Serializer};
    /// Writes milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the serializer does.
    pub fn serialize<S: Serializer>(t: &u64, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_f64(*t as f64 / 1e3)
    }
    /// Reads milliseconds; rejects values that are not a number, negative or too long.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a number, negative or longer than a year.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
        super::micros(f64::deserialize(d)?, 1e3).map_err(serde::de::Error::custom)
    }
}

/// A duration in a scenario file that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
enum DurationError {
    /// The value is negative, not a number or longer than a year.
    #[error("{0} is not a valid duration: expected a number from 0 to one year")]
    OutOfRange(f64),
}

fn micros(x: f64, unit: f64) -> Result<Micros, DurationError> {
    let us = x * unit;
    // No duration needs more than a year, and the limit keeps sums far from overflow.
    if (0.0..3.2e13).contains(&us) { Ok(us.round() as Micros) } else { Err(DurationError::OutOfRange(x)) }
}

/// All parameters of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// The name of the day, shown in tables.
    pub name: String,
    /// One sentence on what the day is about.
    pub about: String,
    /// The seed of all random numbers of the run.
    pub seed: u64,
    /// The duration for which clients arrive; requests that have arrived by then still get their answer.
    #[serde(rename = "length_s", with = "in_s")]
    pub length: Micros,
    /// The interval at which a balancer handles its inputs (virtual time).
    #[serde(rename = "tick_ms", with = "in_ms")]
    pub tick: Micros,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The delays of the network.
    pub net: Net,
    /// The layer-4 front end before the balancers.
    pub front: Front,
    /// The discovery service.
    pub discovery: Discovery,
    /// The traffic of all clients.
    pub traffic: Traffic,
    /// The behaviour of clients.
    pub clients: Clients,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Established connections: their lifetimes and the load that they put on nodes.
    pub streams: Streams,
    /// The kinds of machines.
    pub kinds: Vec<Kind>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The balancers.
    pub balancers: Vec<Balancer>,
    /// What balancers are allowed to do, and the resources of their machines.
    pub limits: Limits,
    /// The limits that the four rules are judged by.
    pub rules: Rules,
    /// The weights of the parts of the score.
    pub goal: Goal,
    /// The deductions from the score.
    pub prices: Prices,
    /// The faults of the day.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
    /// Clients that break the protocol; none by default.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bad_clients: Vec<BadClients>,
}

/// One-way delays of the network.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Net {
    /// Mean delay within a zone.
    #[serde(rename = "same_ms", with = "in_ms")]
    pub same: Micros,
    /// Mean delay between zones.
    #[serde(rename = "cross_ms", with = "in_ms")]
    pub cross: Micros,
    /// Delay between a client and its balancer, without jitter.
    #[serde(rename = "client_ms", with = "in_ms")]
    pub client: Micros,
    /// The random part of a delay, from 0 to 1: this share of the mean delay is exponentially distributed.
    pub jitter: f64,
}

/// The layer-4 front end, which assigns clients to the balancers of their zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// Mean time until it detects that a balancer has died.
    #[serde(rename = "notice_s", with = "in_s")]
    pub notice: Micros,
}

/// The discovery service, which publishes the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Discovery {
    /// Mean time until it detects that a process has ended.
    #[serde(rename = "notice_s", with = "in_s")]
    pub notice: Micros,
    /// Mean time until it detects that a process no longer sends heartbeats.
    #[serde(rename = "silent_notice_s", with = "in_s")]
    pub silent_notice: Micros,
    /// Mean time until it observes a new process, a drain, or a process that can be reached again.
    #[serde(rename = "add_s", with = "in_s")]
    pub add: Micros,
    /// The shortest interval between two versions of the list that are sent to watchers.
    #[serde(rename = "period_ms", with = "in_ms")]
    pub period: Micros,
    /// Spread of one update over the watchers; the model delays an update by up to an eighth of it.
    #[serde(rename = "spread_ms", with = "in_ms")]
    pub spread: Micros,
    /// The rate at which it serves calls and updates, in list lines per second.
    pub lines_per_s: f64,
    /// The fixed work of a call, in list lines.
    pub call_lines: f64,
    /// A call that could not be served within this time fails at once.
    #[serde(rename = "timeout_s", with = "in_s")]
    pub timeout: Micros,
}

/// The traffic of all clients: when they arrive and how they are divided among zones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Mean load as a share of the capacity of all nodes; ignored if `arrivals_per_s` is given.
    pub load: f64,
    /// New clients per second, in place of `load`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arrivals_per_s: Option<f64>,
    /// The traffic over the day as points (seconds, factor), interpolated linearly; the mean is 1 by
    /// convention.
    pub shape: Vec<(f64, f64)>,
    /// Coefficient of variation of the arrival rate from burst to burst; 0 for no bursts.
    #[serde(default)]
    pub burst_cv: f64,
    /// The time for which one drawn arrival rate lasts.
    #[serde(default, rename = "burst_ms", with = "in_ms")]
    pub burst: Micros,
    /// The share of clients in each zone.
    pub zone_share: Vec<f64>,
    /// Recorded arrival times, in seconds, in place of drawn ones.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recorded_s: Vec<f64>,
    /// The worth of a second of service beyond a tenant's share, as a fraction of its worth within the share.
    pub over_share_worth: f64,
}

/// The delay between the attempts of a client.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// The first delay each time.
    None,
    /// Four times the first delay each time.
    Fixed,
    /// A delay that doubles with each failed attempt.
    Exp,
}

/// The behaviour of clients.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Retries of a failed request. The client model ignores it: its clients retry until their lifetime ends.
    pub retries: u32,
    /// Share of the class's `give_up` time per attempt. The client model ignores it: attempts get all of it.
    pub try_share: f64,
    /// How the delay between attempts grows.
    pub backoff: Backoff,
    /// The delay after the first failed attempt.
    #[serde(rename = "backoff_ms", with = "in_ms")]
    pub backoff_first: Micros,
    /// Share of clients that honour a retry-after time.
    pub honour: f64,
    /// The longest retry-after time that clients honour; they shorten a longer one to this.
    #[serde(rename = "max_retry_after_s", with = "in_s")]
    pub max_retry_after: Micros,
    /// Share of clients that leave for good after an attempt that took more than half of the `give_up` time.
    #[serde(default)]
    pub impatient: f64,
    /// Whether clients mark a retry as such.
    #[serde(default)]
    pub marks_retry: bool,
    /// The longest time until a client reconnects after its connection broke.
    #[serde(rename = "rejoin_ms", with = "in_ms")]
    pub rejoin: Micros,
    /// Mean time until a client reconnects after its connection was migrated.
    #[serde(rename = "move_gap_ms", with = "in_ms")]
    pub move_gap: Micros,
    /// The interval between two lines of a client on an established connection.
    #[serde(rename = "line_every_s", with = "in_s")]
    pub line_every: Micros,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// Its share of the arrivals.
    pub share: f64,
    /// Mean work of a set-up, as time on a core of speed 1.
    #[serde(rename = "set_up_ms", with = "in_ms")]
    pub set_up: Micros,
    /// Coefficient of variation of that work between clients. The node model uses a fixed spread instead.
    pub set_up_cv: f64,
    /// Coefficient of variation of that work between the attempts of one client.
    pub attempt_noise: f64,
    /// The latency objective of a set-up.
    #[serde(rename = "aim_ms", with = "in_ms")]
    pub aim: Micros,
    /// How long a client waits for the answer to one attempt.
    #[serde(rename = "give_up_ms", with = "in_ms")]
    pub give_up: Micros,
    /// The worth of one second of service.
    pub worth: f64,
    /// The latency objective of a message.
    #[serde(rename = "message_aim_ms", with = "in_ms")]
    pub message_aim: Micros,
    /// Mean load of a connection, as a multiple of the mean connection load (see [`Streams::per_core`]).
    pub load: f64,
    /// Mean lifetime, as a multiple of [`Streams::life`].
    pub life: f64,
    /// Spread of the loads between connections: sigma of a lognormal distribution.
    pub load_sigma: f64,
    /// Spread of one connection's load over time: sigma of a lognormal distribution.
    pub swing_sigma: f64,
    /// Mean time between two changes of a connection's load.
    #[serde(rename = "change_s", with = "in_s")]
    pub change: Micros,
    /// Share of the time for which a connection is idle; its load is then a tenth of its mean.
    pub idle: f64,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The agreed share of the service, as stated to the balancers.
    pub share: f64,
    /// Its weight in the traffic, relative to the other tenants.
    pub traffic: f64,
    /// The number of its connections that counts as within its share, as a share of the capacity of all
    /// nodes.
    pub quota: f64,
}

/// Which connections a node drops when its backlog is full.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShedPolicy {
    /// None.
    None,
    /// The newest connections.
    Newest,
    /// The connections with the largest load.
    Heaviest,
}

/// How a draining node migrates its clients.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainPolicy {
    /// It doesn't migrate them.
    None,
    /// Over about three seconds.
    Paced,
    /// All at once.
    AtOnce,
}

/// Established connections: their lifetimes and the load that they put on nodes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Streams {
    /// The number of connections of mean load that one core of speed 1 can serve.
    pub per_core: f64,
    /// The largest number of connections of a node, as a multiple of `per_core` times its cores.
    pub cap: f64,
    /// Mean lifetime of a connection.
    #[serde(rename = "life_s", with = "in_s")]
    pub life: Micros,
    /// Spread of the lifetimes: sigma of a lognormal distribution.
    pub life_sigma: f64,
    /// Mean work of a message, as time on a core of speed 1.
    #[serde(rename = "message_ms", with = "in_ms")]
    pub message: Micros,
    /// The burstiness of messages, a factor on their waiting time; 1 for independent messages.
    pub bursty: f64,
    /// The backlog of work, in seconds, at which a node begins to drop connections.
    pub buffer_s: f64,
    /// How the day's `shape` s is divided: the number of clients follows s to this power, their loads follow
    /// the rest.
    pub by_joins: f64,
    /// Which connections a node drops when its backlog is full.
    pub sheds: ShedPolicy,
    /// How a draining node migrates its clients.
    pub go_away: DrainPolicy,
    /// The load of each group of which a node has connections, in mean connection loads.
    pub group_cost: f64,
    /// Mean number of connections of a group.
    pub group_size: f64,
    /// Exponent of the Zipf distribution of the groups' sizes.
    pub group_zipf: f64,
    /// Unevenness of the placement at the start: the largest relative error in the capacities that it is
    /// based on.
    pub start_skew: f64,
    /// Whether nodes report the load of a connection.
    pub tells_load: bool,
    /// Whether nodes report the load of a connection also when it is established, as those of the simulator
    /// do. On sockets servers report it only when it changes, so days that model sockets set this to false.
    #[serde(default = "default_true")]
    pub tells_first: bool,
    /// Whether nodes report the delay of messages.
    pub tells_delay: bool,
}

/// A kind of machines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The name of the kind.
    pub name: String,
    /// The number of cores.
    pub cores: u32,
    /// Set-ups in progress at once, as stated in a site file. The node model ignores it and uses half of the
    /// cores.
    pub slots: u32,
    /// Set-ups that can wait, as stated in a site file; the node model lets four times as many wait.
    pub queue: u32,
    /// Loss of efficiency with many set-ups in progress. The node model ignores it.
    pub thrash: f64,
    /// The number of set-ups from which efficiency is lost. The node model ignores it.
    pub knee: f64,
    /// Capacity after a start, as a share of the full capacity.
    pub cold_from: f64,
    /// The time from a start until the capacity is full.
    #[serde(rename = "cold_s", with = "in_s")]
    pub cold: Micros,
    /// A machine pauses each time its cores have been busy for this long in total; 0 for no pauses.
    #[serde(rename = "pause_every_s", with = "in_s")]
    pub pause_every: Micros,
    /// The length of a pause.
    #[serde(rename = "pause_ms", with = "in_ms")]
    pub pause: Micros,
    /// Growth of the pauses with the load. The node model ignores it.
    pub pause_grow: f64,
    /// The share of set-ups that fail.
    pub error_rate: f64,
}

/// A node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Index of its zone.
    pub zone: u32,
    /// Index of its kind.
    pub kind: u32,
    /// Its cell, which the endpoint list shows as its group.
    #[serde(default)]
    pub cell: u32,
    /// The true speed of a core; 1 is the standard core.
    pub speed: f64,
    /// Its weight in the endpoint list.
    pub weight: f64,
    /// Whether it runs when the day starts.
    #[serde(default = "default_true")]
    pub up: bool,
}

fn default_true() -> bool {
    true
}

/// A balancer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Index of its zone.
    pub zone: u32,
    /// When it starts.
    #[serde(default, rename = "start_s", with = "in_s")]
    pub start: Micros,
}

/// What balancers are allowed to do, and the resources of their machines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Whether they may send probes.
    pub probes: bool,
    /// Whether they may cancel attempts.
    pub cancel: bool,
    /// Whether they may send rejected clients a retry-after time.
    pub retry_after: bool,
    /// The largest number of attempts of one request.
    pub max_attempts: u32,
    /// A link that is not established within this time has failed.
    #[serde(rename = "connect_timeout_ms", with = "in_ms")]
    pub connect_timeout: Micros,
    /// The round trips that it takes to establish a connection to a node.
    pub handshake_rtts: f64,
    /// An unused connection of a balancer to a node is closed after this time (virtual time).
    #[serde(rename = "idle_close_s", with = "in_s")]
    pub idle_close: Micros,
    /// Work of a probe, as time on a core of speed 1.
    #[serde(rename = "probe_work_ms", with = "in_ms")]
    pub probe_work: Micros,
    /// The number of probes that a node handles at once, per core; 0 for no limit.
    #[serde(default)]
    pub probe_cap_per_core: f64,
    /// A probe that is not answered within this time has failed.
    #[serde(rename = "probe_timeout_ms", with = "in_ms")]
    pub probe_timeout: Micros,
    /// CPU time for decisions, in microseconds per second.
    pub cpu_us_per_s: f64,
    /// The number of cores of a balancer's machine (sockets).
    pub cores: f64,
    /// Memory of a balancer's process, in MiB (sockets).
    pub memory_mb: f64,
    /// The largest number of file descriptors of a balancer's process (sockets).
    pub sockets: u32,
}

/// The limits that the four rules are judged by.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// An answer that arrives within this time after the deadline still counts.
    #[serde(rename = "answer_slack_ms", with = "in_ms")]
    pub answer_slack: Micros,
    /// A balancer may send a node no new requests from this time on after it was notified of the node's drain
    /// or end.
    #[serde(rename = "drain_grace_s", with = "in_s")]
    pub drain_grace: Micros,
    /// A node that is warming up is overloaded when it is sent more than this multiple of what it accepts,
    pub fall_multiple: f64,
    /// counted over a window of this length.
    #[serde(rename = "fall_for_s", with = "in_s")]
    pub fall_for: Micros,
    /// The smallest capacity after a start, as a share of the full one, that balancers are told to expect.
    pub stated_cold_from: f64,
    /// The longest warm-up that balancers are told to expect.
    #[serde(rename = "stated_cold_s", with = "in_s")]
    pub stated_cold: Micros,
    /// A balancer without a watch that hasn't called discovery for this long counts as notified of what was
    /// listed that long ago.
    #[serde(rename = "ask_within_s", with = "in_s")]
    pub ask_within: Micros,
}

/// The weights of the parts of the score.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Goal {
    /// Weight of the share earned over the whole day.
    pub whole: f64,
    /// Weight of the worst 10 s.
    pub worst_window: f64,
    /// Weight of the worst class.
    pub worst_class: f64,
    /// Weight of the worst tenant within its share.
    pub worst_tenant: f64,
}

/// The prices of costs: each price times the rate of the cost is deducted from the score.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Prices {
    /// Price of service across zones.
    pub cross_zone: f64,
    /// Price of wasted work. The score ignores it; balancers are told it.
    pub waste: f64,
    /// Price of open connections to nodes.
    pub connection: f64,
    /// Price of new connections to nodes.
    pub handshake: f64,
    /// Price of probes.
    pub probe: f64,
    /// Price of requests that fail after their objective. The score ignores it; balancers are told it.
    pub late_fail: f64,
    /// Price of migrations.
    pub moves: f64,
}

/// A flow of clients that break the protocol, over the whole day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BadClients {
    /// The name of what they do.
    pub kind: String,
    /// Connections per second.
    pub per_s: f64,
}
