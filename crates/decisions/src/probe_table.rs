//! The results of placement probes: how long a server took to answer one, compared with the usual duration
//! for servers of its kind.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::ServerId;

/// Number of durations that are kept for each kind of server.
const MAX_DURATIONS: usize = 32;
/// The usual duration is this quantile of the kept ones. It is a low one because the probed servers are
/// fuller than the rest.
const USUAL_DURATION_QUANTILE: f64 = 0.25;
/// A completed probe is removed after this time.
const SAMPLE_RETENTION_SECONDS: f64 = 5.0;
/// A probe that has not ended within this time counts as lost.
const PROBE_LOSS_SECONDS: f64 = 1.0;

/// A probe that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletedProbe {
    pub completed_at: f64,
    /// How long the probe would have taken if the server were warm, in seconds; infinite if it was not
    /// answered.
    pub duration: f64,
}

/// The pending and the last completed probe of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeSample {
    /// When the pending probe was sent.
    sent_at: Option<f64>,
    pub completed: Option<CompletedProbe>,
}

impl ProbeSample {
    /// When the pending probe was sent, unless it counts as lost.
    pub fn pending_since(&self, now: f64) -> Option<f64> {
        self.sent_at.filter(|sent_at| now <= sent_at + PROBE_LOSS_SECONDS)
    }
}

/// Servers whose probes can be compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServerKind {
    /// Whether the servers are in this instance's zone, since the duration of a probe includes the network's
    /// delay.
    is_same_zone: bool,
    /// Bits of the listed weight; `None` for servers of any weight.
    weight_bits: Option<u64>,
}

/// All probes, and the recent durations of each kind of server.
#[derive(Debug, Default)]
pub(crate) struct ProbeTable {
    samples: BTreeMap<ServerId, ProbeSample>,
    durations: BTreeMap<ServerKind, VecDeque<f64>>,
    /// Whether the timer that checks pending probes is set.
    pub is_timer_set: bool,
}

impl ProbeTable {
    pub fn get(&self, server: ServerId) -> Option<&ProbeSample> {
        self.samples.get(&server)
    }

    /// Records that a probe is being sent; returns false if one is already pending.
    pub fn begin(&mut self, now: f64, server: ServerId) -> bool {
        let sample = self.samples.entry(server).or_default();
        if sample.pending_since(now).is_some() {
            return false;
        }
        sample.sent_at = Some(now);
        true
    }

    /// Ends the pending probe and returns when it was sent, if there was one.
    pub fn end(&mut self, server: ServerId) -> Option<f64> {
        self.samples.get_mut(&server)?.sent_at.take()
    }

    pub fn record_result(&mut self, server: ServerId, result: CompletedProbe) {
        self.samples.insert(server, ProbeSample { sent_at: None, completed: Some(result) });
    }

    /// Adds the duration of an answered probe to those from which the usual duration is computed.
    pub fn record_duration(&mut self, is_same_zone: bool, weight: f64, duration: f64) {
        for weight_bits in [Some(weight.to_bits()), None] {
            let durations = self.durations.entry(ServerKind { is_same_zone, weight_bits }).or_default();
            durations.truncate(MAX_DURATIONS - 1);
            durations.push_front(duration);
        }
    }

    fn usual_duration_of(&self, kind: ServerKind) -> Option<f64> {
        let mut durations = Vec::from_iter(self.durations.get(&kind)?.iter().copied());
        durations.sort_by(f64::total_cmp);
        durations.get((durations.len() as f64 * USUAL_DURATION_QUANTILE) as usize).copied()
    }

    /// The usual duration for a server: the geometric mean of the usual durations for its weight and for any
    /// weight. If only servers of its weight counted, slow servers that are all too full would look normal.
    /// If servers of any weight counted, slow servers would stay empty until the fast ones are full.
    pub fn usual_duration(&self, is_same_zone: bool, weight: f64) -> Option<f64> {
        let of_weight =
            self.usual_duration_of(ServerKind { is_same_zone, weight_bits: Some(weight.to_bits()) })?;
        let of_any = self.usual_duration_of(ServerKind { is_same_zone, weight_bits: None })?;
        Some((of_weight * of_any).sqrt())
    }

    /// Removes lost probes and old results.
    pub fn remove_expired(&mut self, now: f64) {
        self.samples.retain(|_, sample| {
            sample.sent_at = sample.pending_since(now);
            let is_kept = |probe: CompletedProbe| now < probe.completed_at + SAMPLE_RETENTION_SECONDS;
            sample.sent_at.is_some() || sample.completed.is_some_and(is_kept)
        });
    }
}
