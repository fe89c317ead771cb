//! The results of placement probes: how long a server took to answer one, against what is usual for servers
//! of its kind.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::ServerId;

/// Durations that are kept for each kind of server.
const MAX_DURATIONS: usize = 32;
/// The usual duration is this quantile of the kept ones: servers that are probed are fuller than the rest.
const USUAL_DURATION_QUANTILE: f64 = 0.25;
/// A completed probe is forgotten after this time.
const SAMPLE_RETENTION_SECONDS: f64 = 5.0;
/// A probe that has not ended within this time is taken for lost.
const PROBE_LOSS_SECONDS: f64 = 1.0;

/// A probe that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompletedProbe {
    pub completed_at: f64,
    /// How long it would have taken if the server were warm; infinite if it was not answered.
    pub duration: f64,
}

/// The probes of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProbeSample {
    /// When the probe that is out was sent.
    sent_at: Option<f64>,
    pub completed: Option<CompletedProbe>,
}

impl ProbeSample {
    /// When the probe that is out was sent, unless it is taken for lost.
    pub fn pending_since(&self, now: f64) -> Option<f64> {
        self.sent_at.filter(|sent_at| now <= sent_at + PROBE_LOSS_SECONDS)
    }
}

/// Servers whose probes can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ServerKind {
    /// Whether they are in this instance's zone: the network's part of a probe depends on it.
    is_same_zone: bool,
    /// The listed weight as bits; `None` for servers of any weight.
    weight_bits: Option<u64>,
}

/// All probes, and the recent durations of each kind of server.
#[derive(Debug, Default)]
pub(crate) struct ProbeTable {
    samples: BTreeMap<ServerId, ProbeSample>,
    durations: BTreeMap<ServerKind, VecDeque<f64>>,
    /// The timer is set that looks at pending probes.
    pub is_timer_set: bool,
}

impl ProbeTable {
    pub fn get(&self, server: ServerId) -> Option<&ProbeSample> {
        self.samples.get(&server)
    }

    /// Records that a probe is sent; false if one is pending.
    pub fn begin(&mut self, now: f64, server: ServerId) -> bool {
        let sample = self.samples.entry(server).or_default();
        if sample.pending_since(now).is_some() {
            return false;
        }
        sample.sent_at = Some(now);
        true
    }

    /// Ends the probe that is out; when it was sent, if there was one.
    pub fn end(&mut self, server: ServerId) -> Option<f64> {
        self.samples.get_mut(&server)?.sent_at.take()
    }

    pub fn record_result(&mut self, server: ServerId, result: CompletedProbe) {
        self.samples.insert(server, ProbeSample { sent_at: None, completed: Some(result) });
    }

    /// Counts the duration of an answered probe towards what is usual.
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

    /// The usual duration for a server: the geometric mean of what is usual for its weight and for any. By
    /// its weight alone, slow machines that are all too full would look as they should; by any, they would
    /// stay empty until the fast ones are full.
    pub fn usual_duration(&self, is_same_zone: bool, weight: f64) -> Option<f64> {
        let of_weight =
            self.usual_duration_of(ServerKind { is_same_zone, weight_bits: Some(weight.to_bits()) })?;
        let of_any = self.usual_duration_of(ServerKind { is_same_zone, weight_bits: None })?;
        Some((of_weight * of_any).sqrt())
    }

    /// Forgets lost probes and old results.
    pub fn remove_expired(&mut self, now: f64) {
        self.samples.retain(|_, sample| {
            sample.sent_at = sample.pending_since(now);
            let is_kept = |probe: CompletedProbe| now < probe.completed_at + SAMPLE_RETENTION_SECONDS;
            sample.sent_at.is_some() || sample.completed.is_some_and(is_kept)
        });
    }
}
