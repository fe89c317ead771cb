//! A server of a release: it is slower the more it holds and the colder it is, and fails when it is sent more
//! than it tolerates while it is warming up.

use std::collections::{BTreeSet, VecDeque};

use shorewharf_decisions::interface::{ServerEntry, ServerId, ServerState, Settings};

/// From this number of expected set-ups on, the margin for chance is the narrower one.
const NARROW_MARGIN_MIN_SETUPS: f64 = 30.0;
/// A server rejects clients beyond this multiple of what it can hold now.
const MAX_CONNECTIONS_RATIO: f64 = 1.3;

/// A set-up that has reached a server.
#[derive(Clone, Copy, Debug)]
struct Setup {
    at: f64,
    /// Whether its balancer had been notified of the server's start.
    is_from_notified: bool,
}

/// How a cold server failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// The server's age in seconds.
    pub age: f64,
    /// Set-ups within the overload window.
    pub setups: usize,
    /// Set-ups that it tolerates within the window at this age.
    pub tolerated: f64,
    /// Share of the set-ups from balancers that had been notified of the start.
    pub notified_ratio: f64,
}

/// A server.
#[derive(Debug)]
pub struct EmulatedServer {
    /// The server's entry in the endpoint list.
    pub entry: ServerEntry,
    /// Connections that it can hold when it is warm.
    pub size: f64,
    /// Clients that are connected.
    pub clients: BTreeSet<usize>,
    /// How it failed by overload, if it has.
    pub overload: Option<Overload>,
    /// Whether its process runs.
    pub is_running: bool,
    /// Largest share of the tolerated set-ups that it got within a window while it was warming up.
    pub peak_ratio: f64,
    setups: VecDeque<Setup>,
}

impl EmulatedServer {
    /// Starts a server at the time `started_at`, or long ago if that is 0.
    pub fn new(id: u64, size: f64, weight: f64, started_at: f64) -> Self {
        let server = ServerId(id);
        let entry = ServerEntry { server, zone: 0, cell: 0, state: ServerState::Ready, weight, started_at };
        EmulatedServer {
            entry,
            size,
            clients: BTreeSet::new(),
            overload: None,
            is_running: true,
            peak_ratio: 0.0,
            setups: VecDeque::new(),
        }
    }

    /// The part of its warm capacity that the server has: it rises evenly with the age.
    fn warm_up_ratio(&self, settings: &Settings, now: f64) -> f64 {
        if self.entry.started_at <= 0.0 {
            return 1.0;
        }
        let progress = ((now - self.entry.started_at) / settings.warm_up_time).clamp(0.0, 1.0);
        settings.cold_capacity_ratio + (1.0 - settings.cold_capacity_ratio) * progress
    }

    /// How much longer work takes than at a warm and empty server.
    pub fn slowness(&self, settings: &Settings, now: f64) -> f64 {
        let ratio = self.warm_up_ratio(settings, now);
        let free = (1.0 - self.clients.len() as f64 / (self.size * ratio)).max(0.05);
        1.0 / (ratio * free)
    }

    /// Whether the server accepts another client.
    pub fn accepts(&self, settings: &Settings, now: f64) -> bool {
        let capacity = MAX_CONNECTIONS_RATIO * self.size * self.warm_up_ratio(settings, now);
        self.entry.state == ServerState::Ready && (self.clients.len() as f64) < capacity.max(1.0)
    }

    /// Set-ups that the server tolerates within an overload window now. A server can take new clients no
    /// faster than fills it over its warm-up.
    fn tolerated_setups(&self, settings: &Settings, now: f64) -> f64 {
        let rate = self.size * self.warm_up_ratio(settings, now) / settings.warm_up_time;
        let allowed = settings.overload_ratio * rate * settings.overload_window;
        let margin = if allowed < NARROW_MARGIN_MIN_SETUPS { 3.0 } else { 2.0 };
        allowed + margin * allowed.sqrt() + margin
    }

    /// Counts a set-up that has reached the server. Returns whether the server fails by it.
    pub fn count_setup(&mut self, settings: &Settings, now: f64, is_from_notified: bool) -> bool {
        let age = now - self.entry.started_at;
        if self.entry.started_at <= 0.0 || age >= settings.warm_up_time {
            return false;
        }
        self.setups.push_back(Setup { at: now, is_from_notified });
        while self.setups.front().is_some_and(|setup| setup.at <= now - settings.overload_window) {
            self.setups.pop_front();
        }
        let (setups, tolerated) = (self.setups.len(), self.tolerated_setups(settings, now));
        self.peak_ratio = self.peak_ratio.max(setups as f64 / tolerated);
        if setups as f64 <= tolerated {
            return false;
        }
        let notified = self.setups.iter().filter(|setup| setup.is_from_notified).count();
        let notified_ratio = notified as f64 / setups as f64;
        self.overload = Some(Overload { age, setups, tolerated, notified_ratio });
        true
    }
}
