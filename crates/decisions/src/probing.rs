//! Placement by probes, for an instance whose own load says nothing of the servers: it probes those that a
//! request may go to, in the order of their ranks. A probe is served like a request, so its duration grows
//! with what all instances together have put there.
//!
//! A server has capacity if its probe took no longer than is usual for its kind. Ranks are the same at every
//! instance, so a group stays together on its first server until that is fuller than others, and then goes on
//! to the next one.

use crate::interface::{Action, Outcome, ServerId};
use crate::placement::Placement;
use crate::probe_table::CompletedProbe;
use crate::requests::TrackedRequest;
use crate::servers::Server;
use crate::state::Balancer;
use crate::timers::Timer;

/// Servers that are probed at once.
const PROBES_PER_ROUND: usize = 3;
/// Rounds of probes; then the fastest server is taken.
const MAX_PROBE_ROUNDS: usize = 2;
/// At most one in this many servers is probed for a request: groups that go on to many servers fill them by
/// that alone.
const SERVERS_PER_PROBE: usize = 14;
/// At least this many servers are probed for a request.
const MIN_PROBED_SERVERS: usize = 2;
/// A probe slower than this multiple of the usual duration marks the server as full.
const FULL_PROBE_RATIO: f64 = 1.15;
/// A probe that is pending beyond this multiple of the usual duration is not waited for.
const LATE_PROBE_RATIO: f64 = 1.65;
/// A result is used for this time ...
const RESULT_LIFETIME_SECONDS: f64 = 0.5;
/// ... and for less where the server is warming up and holds less.
const WARM_UP_RESULT_LIFETIME_SECONDS: f64 = 0.1;
/// Probes are waited for up to this share of the connect time-out.
const MAX_PROBE_WAIT_RATIO: f64 = 0.2;
/// Pending probes are looked at again after this share of the connect time-out.
const PROBE_CHECK_RATIO: f64 = 0.06;
/// Concurrent set-ups of this instance at one server: its next probe would measure its own set-ups.
const MAX_PENDING_SETUPS: u32 = 2;
/// At most this many waiting requests are placed again at the end of a probe; more wait for the timer.
const MAX_WAITING_PER_PROBE: usize = 8;

impl Balancer {
    /// The server for a request, or what it has to wait for; appends the probes that are missing.
    pub(crate) fn choose_by_probes(
        &mut self,
        now: f64,
        tracked: &TrackedRequest,
        actions: &mut Vec<Action>,
    ) -> Placement {
        let most = PROBES_PER_ROUND * MAX_PROBE_ROUNDS;
        let probed_count = (self.servers.len() / SERVERS_PER_PROBE).clamp(MIN_PROBED_SERVERS, most);
        let mut ranked = self.ranked_servers(now, tracked);
        ranked.truncate(probed_count);
        let mut fastest: Option<(f64, ServerId)> = None;
        for round in ranked.chunks(PROBES_PER_ROUND).take(MAX_PROBE_ROUNDS) {
            let mut missing = Vec::new();
            for &id in round {
                match self.servers.get(id).and_then(|server| self.probe_ratio(now, server)) {
                    Some(ratio) if ratio <= FULL_PROBE_RATIO && missing.is_empty() => {
                        return Placement::Server(id);
                    }
                    Some(ratio) if fastest.is_none_or(|(least, _)| ratio < least) => {
                        fastest = Some((ratio, id));
                    }
                    Some(_) => {}
                    None => missing.push(id),
                }
            }
            if !missing.is_empty() {
                self.send_probes(now, missing, actions);
                return Placement::AwaitProbes;
            }
        }
        Placement::from_choice(fastest.map(|(_, id)| id))
    }

    /// Servers that can take a request: the one reserved for its client, one that is back from draining, then
    /// by rank.
    pub(crate) fn ranked_servers(&self, now: f64, tracked: &TrackedRequest) -> Vec<ServerId> {
        let can_take = |server: &&Server| {
            now >= server.unavailable_until
                && server.pending_setups < MAX_PENDING_SETUPS
                && self.is_past_slow_start(server, now)
                && self.may_attempt(tracked, server, now)
                && !tracked.tried_servers.contains(&server.entry.server)
        };
        // Without a group nothing is shared, and each request has an order of its own.
        let own_order = tracked.request.key
            ^ u64::from(tracked.request.id.0)
            ^ self.settings.instance_index.rotate_left(32);
        let group = tracked.group.unwrap_or(own_order);
        let reserved = self.reservations.get(tracked.request.key).map(|reservation| reservation.server);
        let mut ranked: Vec<_> = self
            .servers
            .in_service(&self.settings, now)
            .filter(can_take)
            .map(|server| {
                let id = server.entry.server;
                let preference =
                    (reserved != Some(id), !server.is_back_from_draining, self.is_cross_zone(server));
                (preference, self.rank(group, server), id)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        ranked.into_iter().map(|(_, _, id)| id).collect()
    }

    /// The duration of a server's probe over what is usual for its kind; none where it has to be probed
    /// first.
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

    /// The speed of a server over that of a warm one: the geometric mean of its warm-up ratio, which is the
    /// least that it can do, and the whole.
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

    /// A placement probe or the trial of a quarantined server has ended.
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
            // The server has answered: it has no capacity, and can be reached.
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

    /// Records the result of a placement probe; false if none was out at the server.
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
