//! What an instance remembers, and the hashing it draws lots with. No decisions.

use std::collections::BTreeMap;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};

use crate::fleet_view::Others;
use crate::interface::*;
use crate::load::Borne;
use crate::probing::ProbeTable;
use crate::slow_start::Crowd;

/// Bound on remembered groups: what the table may grow to.
pub(crate) const GROUPS_MOST: usize = 2048;

#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub entry: ServerEntry,
    pub used: f64,
    pub open: u32,
    pub health: f64,
    pub slow_until: f64,
    pub delay: (f64, f64),
    pub locked: bool,
    pub retry_at: f64,
    pub backoff: f64,
    pub entries: f64,
    /// When it was last sent a client.
    pub entered: f64,
    /// When a set-up failed there that no good one has followed.
    pub failed_at: f64,
    /// Connections that broke there lately.
    pub drops: f64,
    /// It drained and is ready again, and nobody was sent there since.
    pub thawed: bool,
    /// Set-ups in hand.
    pub in_hand: u32,
    /// This proxy's clients there, by group.
    pub groups: BTreeMap<u64, u32>,
}

#[derive(Clone, Debug)]
pub(crate) struct Client {
    pub request: Request,
    /// What repeating it may do, as its class stood when it arrived: new settings change nothing of what has been sent.
    pub idempotency: Idempotency,
    pub group: Option<u64>,
    pub load: f64,
    /// Its load was told.
    pub told: bool,
    pub attempts: u32,
    pub out: Option<ServerId>,
    pub on: Option<ServerId>,
    pub ran: Option<(ServerId, f64, u32)>,
    pub tried: Vec<ServerId>,
    /// Servers that answered with an error.
    pub errors: Vec<ServerId>,
    /// When its last attempt went out.
    pub sent: f64,
    pub arrived: f64,
    /// It passes over its group's first rank where nothing is heard of it.
    pub passes: bool,
    pub answered: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub server: ServerId,
    pub load: f64,
    pub until: f64,
}

impl Server {
    pub fn new(entry: ServerEntry) -> Self {
        Server {
            entry,
            used: 0.0,
            open: 0,
            health: 1.0,
            slow_until: 0.0,
            delay: (0.0, 0.0),
            locked: false,
            retry_at: 0.0,
            backoff: 0.0,
            entries: 0.0,
            entered: f64::NEG_INFINITY,
            failed_at: f64::NEG_INFINITY,
            drops: 0.0,
            thawed: false,
            in_hand: 0,
            groups: BTreeMap::new(),
        }
    }
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub(crate) fn hash(a: u64, b: u64) -> u64 {
    mix(mix(a.wrapping_add(0x9e37_79b9_7f4a_7c15)).wrapping_add(b))
}

/// A hash as a number in (0, 1).
pub(crate) fn unit(x: u64) -> f64 {
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

pub(crate) fn sane(x: f64) -> Option<f64> {
    (x.is_finite() && x > 0.0).then_some(x)
}

/// One proxy's decisions. Feed it events, carry out its actions.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) set: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) clients: BTreeMap<RequestId, Client>,
    pub(crate) reserved: BTreeMap<u64, Reservation>,
    pub(crate) groups: BTreeMap<u64, (f64, Option<ServerId>)>,
    pub(crate) seen: f64,
    pub(crate) rate: f64,
    pub(crate) span: f64,
    pub(crate) steady: f64,
    pub(crate) class_load: Vec<f64>,
    pub(crate) moves: f64,
    /// Mean load of a connection, 0 while it is not known.
    pub(crate) mean: f64,
    pub(crate) borne: BTreeMap<ServerId, Borne>,
    pub(crate) probing: ProbeTable,
    pub(crate) others: Others,
    /// A look at who waits is due.
    pub(crate) looks: bool,
    pub(crate) pace: f64,
    pub(crate) permits: f64,
    pub(crate) paced_at: f64,
    pub(crate) fell_at: f64,
    pub(crate) sends: f64,
    pub(crate) subscribed: bool,
    /// When this proxy started.
    pub(crate) began: f64,
    pub(crate) crowd: Crowd,
    /// The sizes of all ready servers together, at the most that was listed.
    pub(crate) sizes: f64,
    /// Attempts may be repeated.
    pub(crate) repeats: bool,
}

impl Balancer {
    /// A fresh one whose set-ups have this pace.
    pub(crate) fn fresh(set: Settings, seed: u64, pace: f64) -> Self {
        let class_load = vec![0.0; set.classes.len()];
        Balancer {
            set,
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: BTreeMap::new(),
            clients: BTreeMap::new(),
            reserved: BTreeMap::new(),
            groups: BTreeMap::new(),
            seen: 0.0,
            rate: 0.0,
            span: 1.0,
            steady: 0.0,
            class_load,
            moves: 0.0,
            mean: 0.0,
            borne: BTreeMap::new(),
            probing: ProbeTable::default(),
            others: Others::default(),
            looks: false,
            pace,
            permits: 1.0,
            paced_at: 0.0,
            fell_at: 0.0,
            sends: 0.0,
            subscribed: false,
            began: f64::NEG_INFINITY,
            crowd: Crowd::default(),
            sizes: 0.0,
            repeats: true,
        }
    }

    /// Puts new settings in force; all that was learned stays. Classes that are known keep their places.
    pub fn take_settings(&mut self, set: Settings) {
        self.class_load.resize(set.classes.len(), 0.0);
        self.set = set;
    }

    /// What the ranks go by: the group, or where packets pass through the key, for the next proxy to find.
    pub(crate) fn group_of(&self, r: &Request) -> Option<u64> {
        let of = if self.set.is_pass_through { r.key } else { r.group };
        ((self.set.is_pass_through || self.set.has_groups) && of != 0).then_some(of)
    }

    pub(crate) fn draw(&mut self) -> f64 {
        unit(self.rng.next_u64())
    }

    /// Whether all that are here leave, or were taken out: none of them comes back within a moment.
    pub(crate) fn barred(&self) -> bool {
        !self.servers.is_empty() && self.servers.values().all(|s| s.entry.state != ServerState::Ready)
    }

    pub(crate) fn unuse(&mut self, server: ServerId, load: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.used = (s.used - load).max(0.0);
        }
    }

    pub(crate) fn finish(&mut self, id: RequestId) {
        let Some(c) = self.clients.get_mut(&id) else { return };
        c.answered = true;
        if c.out.is_none() && c.on.is_none() {
            self.clients.remove(&id);
        }
    }

    pub(crate) fn load_of(&mut self, r: &Request) -> f64 {
        let hint = r.load.and_then(sane);
        if let (Some(load), Some(mean)) = (hint, self.class_load.get_mut(r.class)) {
            *mean = if *mean > 0.0 { *mean + 0.05 * (load - *mean) } else { load };
        }
        let class = self.class_load.get(r.class).copied().and_then(sane);
        let known = || self.class_load.iter().copied().find_map(sane);
        hint.or(class).or_else(known).or(sane(self.mean)).unwrap_or(1.0)
    }

    pub(crate) fn client(&mut self, now: f64, request: Request) -> Client {
        let load = self.load_of(&request);
        self.count_group(&request);
        Client {
            request,
            idempotency: self
                .set
                .classes
                .get(request.class)
                .map_or(Idempotency::NonIdempotent, |k| k.idempotency),
            group: self.group_of(&request),
            load,
            told: false,
            attempts: 0,
            out: None,
            on: None,
            ran: None,
            tried: Vec::new(),
            errors: Vec::new(),
            sent: now,
            arrived: now,
            passes: false,
            answered: false,
        }
    }

    pub(crate) fn drop_reservation(&mut self, key: u64) {
        if let Some(r) = self.reserved.remove(&key) {
            self.unuse(r.server, r.load);
        }
    }

    pub(crate) fn count_group(&mut self, r: &Request) {
        self.seen += 1.0;
        let Some(group) = self.group_of(r) else { return };
        if self.groups.len() < GROUPS_MOST || self.groups.contains_key(&group) {
            self.groups.entry(group).or_insert((0.0, None)).0 += 1.0;
        }
    }

    pub(crate) fn message_aim(&self) -> f64 {
        self.set.classes.iter().map(|c| c.message_latency_objective).fold(f64::INFINITY, f64::min)
    }

    /// Servers known to hold some of a group: those of its clients here, and where the last one was placed.
    pub(crate) fn holding(&self, group: Option<u64>) -> Vec<ServerId> {
        let Some(group) = group else { return Vec::new() };
        let same = self.clients.values().filter(|c| c.group == Some(group));
        let last = self.groups.get(&group).and_then(|g| g.1);
        same.filter_map(|c| c.on.or(c.out)).chain(last).collect()
    }

    /// Requests that wait for a server: those who come again first, then who has waited for longest.
    pub(crate) fn held(&self) -> Vec<RequestId> {
        let waiting = |c: &&Client| !c.answered && c.out.is_none() && c.on.is_none();
        let mut held: Vec<&Client> = self.clients.values().filter(waiting).collect();
        held.sort_by(|a, b| {
            b.request.is_returning.cmp(&a.request.is_returning).then(a.arrived.total_cmp(&b.arrived))
        });
        held.into_iter().map(|c| c.request.id).collect()
    }
}
