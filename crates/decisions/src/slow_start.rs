//! The guard of cold servers: which part of its work a server that has just started can do by now, and how many new
//! clients it gets from all proxies together.
//!
//! Proxies that hear nothing of each other take turns, as on a line that is shared by time slots: a cold server's time is
//! dealt out to them by their numbers, one client a turn, and a turn that nobody came in is lost. Entries that each proxy
//! could save up were spent together by a burst: 15 within 0.6 s, one from each of 15 proxies, on a server that bore 8.
//!
//! Turns are dealt out so that any window bears all of them. Where a proxy's part of a server is thin, or it is blind, most
//! pass with no client of its own, or with one for another server: more are dealt out then, and the bound is no longer
//! certain, until connections break in numbers, as those who held them come back to all proxies at once.

use crate::interface::{ServerId, ServerState};
use crate::state::{Balancer, Server, hash, unit};

/// Where neither what servers hold nor what a connection loads them with is known, a server is taken for one that can do
/// so many times its even share of the steady arrivals.
const ENTRY: f64 = 2.5;
/// Of the calls that the settings bear within their window, so many are dealt out: servers of one listed size differ by a
/// third in what they can do, and calls by about as much in the work that they are.
const MARGIN: f64 = 0.8;
/// Turns are strict where a proxy's even part of a server is this many connections or more, whatever comes: its own clients
/// use most of them. A hundred proxies before fourteen servers have 0.57.
const THIN: f64 = 0.8;
/// The same for a blind proxy while there is no crowd, as most turns are lost then, and the part of a proxy's round that
/// each lasts. Large days of the standing test, `roll` and `join`, served 0.85 and 0.76 with 1.5, 0.78 and 0.65 with 1 and
/// shorter turns, 0.61 and 0.54 with strict ones.
const LOOSE: f64 = 1.5;
const LASTS: f64 = 0.5;
/// So many connections that broke, each fading over so many seconds, are a crowd that comes back: turns are strict for a time.
const CROWD: f64 = 1.5;
const FADES: f64 = 0.5;
const CROWD_FOR: f64 = 3.0;
/// The fractional part of the golden ratio: its multiples spread the numbers of any run of proxies evenly over a round.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// What says that a crowd comes back.
#[derive(Debug)]
pub(crate) struct Crowd {
    /// Connections that broke lately, as of a time.
    broke: (f64, f64),
    until: f64,
}

impl Default for Crowd {
    fn default() -> Self {
        Crowd { broke: (0.0, 0.0), until: f64::NEG_INFINITY }
    }
}

impl Balancer {
    /// Share of a cold server's work that it can do by now.
    pub(crate) fn ramp(&self, s: &Server, now: f64) -> f64 {
        let age = now - s.entry.started_at;
        if s.entry.started_at <= 0.0 || age >= self.set.warm_up_time {
            return 1.0;
        }
        let start = self.set.cold_capacity_ratio.clamp(0.0, 1.0);
        start + (1.0 - start) * (age / self.set.warm_up_time).max(0.0)
    }

    /// Whether a server is warm, or this proxy may send it one more client now.
    pub(crate) fn entry_open(&self, s: &Server, now: f64) -> bool {
        if self.ramp(s, now) >= 1.0 {
            return true;
        }
        match self.part_held(s, now) {
            // Guards it against one client from each of many proxies.
            Some(part) => s.entries + unit(self.lot(s)) < part,
            None => self.turn(s, now).is_some_and(|began| began > s.entered),
        }
    }

    /// A client is sent to a server.
    pub(crate) fn enters(&mut self, now: f64, server: ServerId) {
        let Some(s) = self.servers.get(&server) else { return };
        let part = self.part_held(s, now);
        let Some(s) = self.servers.get_mut(&server) else { return };
        // Entries saved up while nobody came are lost: a lone proxy's burst could push the server over.
        s.entries = s.entries.max(part.unwrap_or(0.0) - 1.0) + 1.0;
        s.entered = now;
    }

    /// This proxy starts. What the process before it has sent is not known: the turns that are on count as used.
    pub(crate) fn begins(&mut self, now: f64) {
        self.began = now;
        self.crowd.until = now + CROWD_FOR;
    }

    /// A connection broke that stood.
    pub(crate) fn breaks(&mut self, now: f64) {
        let (broke, at) = self.crowd.broke;
        let broke = broke * ((at - now) / FADES).exp() + 1.0;
        self.crowd.broke = (broke, now);
        if broke >= CROWD {
            self.crowd.until = now + CROWD_FOR;
        }
    }

    /// The list is another one: what all servers together have been listed with at most is what the whole fleet can do.
    pub(crate) fn resized(&mut self) {
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        self.sizes = ready.map(|s| s.entry.weight).sum::<f64>().max(self.sizes);
    }

    fn lot(&self, s: &Server) -> u64 {
        hash(hash(self.set.instance_index, s.entry.server.0), s.entry.started_at.to_bits())
    }

    /// Where others are heard of, every client may come to every server: this proxy's part of what a cold server holds by
    /// now, as connections. All parts add up to that.
    fn part_held(&self, s: &Server, now: f64) -> Option<f64> {
        let borne = self.borne.get(&s.entry.server).filter(|_| self.mean > 0.0 && self.hears(now))?;
        Some(borne.load / self.mean)
    }

    /// Calls a second that the settings allow a cold server: so many times the connections that fill it while it warms up.
    fn allowed(&self, s: &Server, now: f64) -> f64 {
        let held: f64 = self.set.tenant_connection_quotas.iter().sum();
        if held > 0.0 && self.set.warm_up_time > 0.0 {
            // The same at every proxy, from its first moment on.
            let filled = held * s.entry.weight / self.sizes.max(s.entry.weight);
            return self.set.overload_ratio * filled / self.set.warm_up_time;
        }
        if let Some(borne) = self.borne.get(&s.entry.server) {
            return borne.entries * self.set.instance_count;
        }
        let even = self.steady * self.set.instance_count / self.servers.len().max(1) as f64;
        self.set.overload_ratio * ENTRY * even * self.ramp(s, now)
    }

    /// Whether a proxy's even part of a server is so small that most turns are lost. It goes by quotas where they are known:
    /// a mean load that was learned from a few connections is off by half.
    fn is_thin(&self) -> bool {
        let held: f64 = self.set.tenant_connection_quotas.iter().sum();
        let part =
            if held > 0.0 { held / self.set.instance_count / self.servers.len() as f64 } else { self.part() };
        part < THIN
    }

    /// Since when this proxy's turn at a cold server is on; none between its turns.
    fn turn(&self, s: &Server, now: f64) -> Option<f64> {
        let (window, proxies) = (self.set.overload_window, self.set.instance_count.max(1.0));
        let allowed = self.allowed(s, now) * window;
        let bears = allowed + 2.0 * allowed.sqrt() + 2.0;
        let crowd = now < self.crowd.until;
        // A turn lasts for a window, or until the proxy's next one: any window meets those that begin within the one
        // before it and within itself.
        let most = MARGIN * bears - 1.0;
        let strict = f64::max(most * 0.5, most - proxies);
        let dealt = match crowd || !self.is_thin() {
            true => strict,
            false if self.is_blind() => LOOSE * bears,
            false => strict.max(allowed),
        };
        let round = proxies * window / dealt;
        let lasts = if dealt > strict { window.max(round * LASTS) } else { window };
        let place = (self.set.instance_index as f64 * GOLDEN
            + unit(hash(s.entry.server.0, s.entry.started_at.to_bits())))
        .fract();
        let since = ((now - s.entry.started_at).max(0.0) / round + place).fract() * round;
        let began = now - since;
        (since < lasts && (began >= self.began || !crowd)).then_some(began)
    }
}
