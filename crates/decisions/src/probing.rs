//! Placement by probes, for an instance whose own load says nothing about the servers: it probes the servers
//! to which a request may go, in order of rank. A server handles a probe like a request, so the duration of a
//! probe grows with the load that all instances together have placed there.
//!
//! A server has free capacity if its probe took no longer than is usual for its kind. Ranks are the same at
//! every instance, so a group stays together on its first server until that is fuller than others, and then
//! continues on the next one.

use crate::interface::{Action, Outcome, ServerId};
use crate::placement::Placement;
use crate::probe_table::CompletedProbe;
use crate::requests::TrackedRequest;
use crate::servers::Server;
use crate::state::Balancer;
use crate::timers::Timer;

/// Number of servers that are probed at the same time for a request.
const PROBES_PER_ROUND: usize = 3;
/// Number of rounds of probes for a request, after which the fastest server is chosen.
const MAX_PROBE_ROUNDS: usize = 2;
/// At most one in this many servers is probed for a request. With more, groups would spread over many servers
/// and fill them by the overhead of spreading alone.
const SERVERS_PER_PROBE: usize = 14;
/// At least this many servers are probed for a request.
const MIN_PROBED_SERVERS: usize = 2;
/// A server counts as full if its probe takes longer than this multiple of the usual duration.
const FULL_PROBE_RATIO: f64 = 1.15;
/// A probe that is pending for longer than this multiple of the usual duration is no longer waited for.
const LATE_PROBE_RATIO: f64 = 1.65;
/// Time for which the result of a probe is used.
const RESULT_LIFETIME_SECONDS: f64 = 0.5;
/// Time for which the result is used if the server is warming up, and so has less capacity.
const WARM_UP_RESULT_LIFETIME_SECONDS: f64 = 0.1;
/// Longest wait for a pending probe, as a share of the connect timeout.
const MAX_PROBE_WAIT_RATIO: f64 = 0.2;
/// Pending probes are checked again after this share of the connect timeout.
const PROBE_CHECK_RATIO: f64 = 0.06;
/// Largest number of concurrent set-ups of this instance at one server. With more, the next probe of the
/// server would measure this instance's own set-ups.
const MAX_PENDING_SETUPS: u32 = 2;
/// A request waits for a turn at a warming server until this share of its latency objective has passed.
const MAX_TURN_WAIT_RATIO: f64 = 0.75;
/// Waiting requests are placed again at the end of a probe only if there are at most this many. More of them
/// wait for the timer.
const MAX_WAITING_PER_PROBE: usize = 8;

impl Balancer {
    /// Chooses the server for a request by the results of probes. Sends the probes that are needed first, if
    /// any.
    pub(crate) fn choose_by_probes(
        &mut self,
        now: f64,
        tracked: &TrackedRequest,
        actions: &mut Vec<Action>,
    ) -> Placement {
        let max_probed = PROBES_PER_ROUND * MAX_PROBE_ROUNDS;
        let probed_count = (self.servers.len() / SERVERS_PER_PROBE).clamp(MIN_PROBED_SERVERS, max_probed);
        let mut ranked = self.ranked_servers(now, tracked);
        if self.should_await_turn(now, tracked, &ranked) {
            return Placement::AwaitTurn;
        }
        ranked.truncate(probed_count);
        let mut fastest: Option<(f64, ServerId)> = None;
        for round in ranked.chunks(PROBES_PER_ROUND).take(MAX_PROBE_ROUNDS) {
            let mut unprobed = Vec::new();
            for &id in round {
                match self.servers.get(id).and_then(|server| self.probe_ratio(now, server)) {
                    Some(ratio) if ratio <= FULL_PROBE_RATIO && unprobed.is_empty() => {
                        return Placement::Server(id);
                    }
                    Some(ratio) if fastest.is_none_or(|(least, _)| ratio < least) => {
                        fastest = Some((ratio, id));
                    }
                    Some(_) => {}
                    None => unprobed.push(id),
                }
            }
            if !unprobed.is_empty() {
                self.send_probes(now, unprobed, actions);
                return Placement::AwaitProbes;
            }
        }
        Placement::from_choice(fastest.map(|(_, id)| id))
    }

    /// Whether a request should wait for this instance's turn at a server that is warming up. Where turns are
    /// rare, each lost one is a client more for the servers that are warm, and these are full in a release.
    fn should_await_turn(&self, now: f64, tracked: &TrackedRequest, ranked: &[ServerId]) -> bool {
        let is_warming_up = |server: &Server| server.warm_up_ratio(&self.settings, now) < 1.0;
        if tracked.attempts > 0 || ranked.iter().filter_map(|id| self.servers.get(*id)).any(is_warming_up) {
            return false;
        }
        let latest = tracked.received_at + MAX_TURN_WAIT_RATIO * self.latency_objective(&tracked.request);
        let inputs = self.slow_start_inputs(now);
        let has_turn_in_time = |server: &Server| {
            now >= server.unavailable_until
                && self.may_attempt(tracked, server, now)
                && self.slow_start.next_turn(&inputs, server, now).is_some_and(|at| at <= latest)
        };
        self.servers.in_service(&self.settings, now).any(has_turn_in_time)
    }

    /// The servers that can accept a request, in order of preference: the one reserved for the client, one
    /// that has returned from draining, those of this instance's zone if crossing zones is costly, those that
    /// are warming up, as a turn that is not used is lost, then by rank.
    pub(crate) fn ranked_servers(&self, now: f64, tracked: &TrackedRequest) -> Vec<ServerId> {
        let can_accept = |server: &&Server| {
            now >= server.unavailable_until
                && server.pending_setups < MAX_PENDING_SETUPS
                && self.is_admitted_by_slow_start(server, now)
                && self.may_attempt(tracked, server, now)
                && !tracked.tried_servers.contains(&server.entry.server)
        };
        // Requests without a group share no work, so each of them gets an order of its own.
        let own_rank_key = tracked.request.key
            ^ u64::from(tracked.request.id.0)
            ^ self.settings.instance_index.rotate_left(32);
        let group = tracked.group.unwrap_or(own_rank_key);
        let reserved = self.reservations.get(tracked.request.key).map(|reservation| reservation.server);
        let mut ranked: Vec<_> = self
            .servers
            .in_service(&self.settings, now)
            .filter(can_accept)
            .map(|server| {
                let id = server.entry.server;
                let preference = (
                    reserved != Some(id),
                    !server.is_back_from_draining,
                    self.is_cross_zone(server),
                    server.warm_up_ratio(&self.settings, now) >= 1.0,
                );
                (preference, self.rank(group, server), id)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(_, _, id)| id).collect()
    }

    /// The duration of a server's probe relative to the usual duration for its kind; `None` if there is no
    /// result to go by yet.
    fn probe_ratio(&self, now: f64, server: &Server) -> Option<f64> {
        let sample = self.probes.get(server.entry.server)?;
        let usual = self.probes.usual_duration(self.is_same_zone(server), server.entry.weight);
        if let Some(sent_at) = sample.pending_since(now) {
            let so_far = (now - sent_at) * self.expected_speed(server, now);
            let expected = usual.unwrap_or(self.settings.connect_timeout * PROBE_CHECK_RATIO);
            let ratio = so_far / expected;
            let is_overdue = now - sent_at >= self.settings.connect_timeout * MAX_PROBE_WAIT_RATIO;
            return (ratio > LATE_PROBE_RATIO || is_overdue).then_some(ratio);
        }
        let is_warming_up = server.warm_up_ratio(&self.settings, now) < 1.0;
        let lifetime = if is_warming_up { WARM_UP_RESULT_LIFETIME_SECONDS } else { RESULT_LIFETIME_SECONDS };
        let probe = sample.completed.filter(|probe| now < probe.completed_at + lifetime)?;
        Some(usual.map_or(f64::INFINITY, |usual| probe.duration / usual))
    }

    fn is_same_zone(&self, server: &Server) -> bool {
        server.entry.zone == self.settings.zone
    }

    /// The expected speed of a server relative to a warm one: the geometric mean of its warm-up ratio, which
    /// is the least speed that it can have, and 1.
    fn expected_speed(&self, server: &Server, now: f64) -> f64 {
        server.warm_up_ratio(&self.settings, now).sqrt()
    }

    fn send_probes(&mut self, now: f64, servers: Vec<ServerId>, actions: &mut Vec<Action>) {
        for server in servers {
            if self.probes.begin(now, server) {
                actions.push(Action::Probe(server));
            }
        }
        if !self.probes.is_timer_set {
            self.probes.is_timer_set = true;
            let after = self.settings.connect_timeout * PROBE_CHECK_RATIO;
            actions.push(Action::SetTimer { after, token: Timer::PendingProbes.token() });
        }
    }

    /// Handles the end of a placement probe or of the trial of a quarantined server.
    pub(crate) fn on_probe_ended(
        &mut self,
        now: f64,
        server: ServerId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let was_placement_probe = self.record_probe(now, server, outcome);
        match outcome {
            Outcome::Ok => {
                if let Some(server) = self.servers.get_mut(server) {
                    server.is_quarantined = false;
                }
            }
            // The server answered, so it can be reached, but it has no free capacity.
            Outcome::Error if was_placement_probe => {}
            _ => self.quarantine(now, server),
        }
        if !self.loads.lacks_own_load_signal(&self.settings, self.servers.len()) {
            return;
        }
        let waiting = self.requests.waiting();
        if waiting.len() <= MAX_WAITING_PER_PROBE {
            for request in waiting {
                self.dispatch(now, request, actions);
            }
        }
    }

    /// Records the result of a placement probe; returns false if none was pending at the server.
    fn record_probe(&mut self, now: f64, id: ServerId, outcome: Outcome) -> bool {
        let sent_at = self.probes.end(id);
        let (Some(sent_at), Some(server)) = (sent_at, self.servers.get(id)) else { return false };
        let duration = (now - sent_at) * self.expected_speed(server, now);
        let is_answered = outcome == Outcome::Ok;
        if is_answered {
            self.probes.record_duration(self.is_same_zone(server), server.entry.weight, duration);
        }
        let duration = if is_answered { duration } else { f64::INFINITY };
        self.probes.record_result(id, CompletedProbe { completed_at: now, duration });
        true
    }
}
