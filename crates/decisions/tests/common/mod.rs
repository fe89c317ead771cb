//! Helpers for tests that drive a balancer through its public interface.
#![allow(dead_code)]

use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState, Settings,
};

/// Token of the housekeeping timer, which fires once a second.
pub const HOUSEKEEPING_TOKEN: u64 = 1 << 40;
/// Token of the timer for the next call to discovery.
pub const SUBSCRIBE_TOKEN: u64 = 2 << 40;

/// Settings with two zones, one idempotent class and ten instances; tests change what they need.
pub fn settings() -> Settings {
    let text = br#"{"classes":[{"promise_s":0.5,"semantics":"read_like","worth":1.0}],
        "group_size":10,"me":3,"zone":0,"zones":["z0","z1"],"registry_mode":"push","tick_s":0.005,"weights":"nominal",
        "specifics":{"groups":true,"message_aim_s":[0.1],"mode":"proxy"},
        "limits":{"cancel":true,"connect_timeout_s":0.25,"max_attempts":4,"max_retry_after_s":1.0,"retry_after":true},
        "rules":{"ask_within_s":10,"start_capacity":0.3,"warm_within_s":10,"fall_multiple":3,"drain_grace_s":0.5}}"#;
    shorewharf_settings::parse(text).expect("valid settings").settings
}

pub fn entry(id: u64) -> ServerEntry {
    let zone = (id % 2) as u32;
    ServerEntry {
        server: ServerId(id),
        zone,
        cell: id as u32 / 2,
        state: ServerState::Ready,
        weight: 2.0,
        started_at: 0.0,
    }
}

pub fn endpoint_list(entries: &[ServerEntry]) -> Event {
    Event::EndpointList { is_complete: true, is_cached: false, entries: entries.to_vec().into() }
}

pub fn request(id: u32, now: f64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        key: u64::from(id) + 1000,
        deadline: now + 2.0,
        load: None,
        group: 0,
        is_mid_flow: false,
        is_returning: false,
    }
}

/// A balancer and its clock.
pub struct TestInstance {
    pub balancer: Balancer,
    pub now: f64,
}

impl TestInstance {
    /// Starts an instance that lists servers 1 to `server_count` as ready and warm.
    pub fn new(settings: Settings, server_count: u64) -> Self {
        let mut instance = TestInstance { balancer: Balancer::new(settings, 7), now: 100.0 };
        instance.handle(Event::Start);
        instance.handle(endpoint_list(&(1..=server_count).map(entry).collect::<Vec<_>>()));
        instance
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn receive(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::RequestReceived(request))
    }

    /// Receives a request and establishes its attempt. Returns the chosen server if an attempt began.
    pub fn connect(&mut self, request: Request) -> Option<ServerId> {
        let server = attempted_server(&self.receive(request));
        if server.is_some() {
            self.handle(Event::Established { request: request.id, attempt: 0 });
        }
        server
    }

    pub fn end_attempt(&mut self, id: u32, server: ServerId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let is_answered = outcome == Outcome::Ok;
        self.end_attempt_as(id, server, attempt, outcome, is_answered)
    }

    pub fn end_attempt_as(
        &mut self,
        id: u32,
        server: ServerId,
        attempt: u32,
        outcome: Outcome,
        is_answered: bool,
    ) -> Vec<Action> {
        let request = RequestId(id);
        self.handle(Event::AttemptEnded { request, server, attempt, outcome, is_answered, load_ratio: None })
    }

    /// Advances the clock, fires the timers that come due, and returns all their actions.
    pub fn advance_to(&mut self, timers: &mut Vec<(f64, u64)>, until: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            if timers.first().is_none_or(|timer| timer.0 > until) {
                self.now = until;
                return actions;
            }
            let (at, token) = timers.remove(0);
            self.now = at;
            let fired = self.handle(Event::TimerFired(token));
            record_timers(&fired, at, timers);
            actions.extend(fired);
        }
    }
}

pub fn record_timers(actions: &[Action], now: f64, timers: &mut Vec<(f64, u64)>) {
    for action in actions {
        if let Action::SetTimer { after, token } = action {
            timers.push((now + after.max(0.001), *token));
        }
    }
}

pub fn attempted_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::BeginAttempt { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}

pub fn migration_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Migrate(_))).count()
}
