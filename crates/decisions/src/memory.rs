//! What an instance knows that may outlive it: read out in portions, so that nobody waits for it, and recalled by the
//! next one piece by piece. What fades in a living instance has faded by as much when it is recalled; of a server that
//! was started anew meanwhile, or is not listed, nothing is believed.
//!
//! Left out: what standing connections say by themselves (they are told of anew where they go on, and are expected back
//! where they do not), and draws of the random generator.

use std::ops::Bound::{Excluded, Unbounded};

use serde::{Deserialize, Serialize};

use crate::interface::{RequestId, ServerId};
use crate::policy::{DROPS_KEEP, KEEP, KEYS_MOST, LATENCY, LEAST, MEMORY, PACE_FREE, PACE_LEAST, REGAIN};
use crate::state::{Balancer, GROUPS_MOST, Reservation, sane};

/// One thing that is known. Times are seconds on the caller's clock, as everywhere in the module.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Known {
    /// Of the instance as a whole.
    Flow(Flow),
    /// Of a server.
    Server(KnownServer),
    /// Clients of a group, faded, and where the last one was placed.
    Group {
        /// The group.
        group: u64,
        /// How many have been seen.
        seen: f64,
        /// The server that the last one was brought to.
        last: Option<u64>,
    },
    /// A client that has left is expected back at its server.
    Place(Place),
    /// A client stands at its server; where its connection ends with the process it is expected back there.
    Stands(Place),
}

/// What is known of the instance as a whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Flow {
    /// Clients seen, faded as the groups' counts are.
    pub seen: f64,
    /// Clients that came afresh, faded, and over how long.
    pub rate: f64,
    /// Over so many seconds.
    pub span: f64,
    /// Moves that are saved up.
    pub moves: f64,
    /// Mean load of a connection, 0 while it is not known.
    pub mean: f64,
    /// Mean hinted load by class, 0 where none was hinted.
    pub class_load: Vec<f64>,
    /// Set-ups that may be sent a second.
    pub pace: f64,
}

/// What is known of a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct KnownServer {
    /// The server.
    pub server: u64,
    /// When its process had started, as listed: a later one has nothing to do with this.
    pub born: f64,
    /// Share of its size that it is believed to have.
    pub health: f64,
    /// It gets nothing before then.
    pub spent_until: f64,
    /// No connection could be made there, and a trial is due then, and after such a pause.
    pub locked: Option<(f64, f64)>,
    /// Entries used up while it is cold.
    pub entries: f64,
    /// Connections that broke there lately.
    pub drops: f64,
}

/// A client's place at a server.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Place {
    /// The client's key.
    pub key: u64,
    /// The server.
    pub server: u64,
    /// Its load.
    pub load: f64,
    /// It is kept until then; a standing client's as if it had left when this was read.
    #[serde(default)]
    pub until: f64,
}

/// How far a reading has come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Cursor {
    /// It begins.
    #[default]
    Start,
    /// Behind this server.
    Server(Option<ServerId>),
    /// Behind this group.
    Group(Option<u64>),
    /// Behind this key.
    Place(Option<u64>),
    /// Behind this request.
    Stands(Option<RequestId>),
    /// Everything was read.
    End,
}

/// What was made of things recalled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recalled {
    /// Believed, faded as it may be.
    pub taken: usize,
    /// Of servers that were started anew since, or are not listed as ready.
    pub outdated: usize,
    /// Faded to nothing, or beyond what is remembered.
    pub faded: usize,
    /// Numbers that can't be.
    pub odd: usize,
}

impl Recalled {
    /// Both together.
    pub fn and(self, other: Recalled) -> Recalled {
        Recalled {
            taken: self.taken + other.taken,
            outdated: self.outdated + other.outdated,
            faded: self.faded + other.faded,
            odd: self.odd + other.odd,
        }
    }

    pub(crate) fn count(&mut self, fate: Fate) {
        match fate {
            Fate::Taken => self.taken += 1,
            Fate::Outdated => self.outdated += 1,
            Fate::Faded => self.faded += 1,
            Fate::Odd => self.odd += 1,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    Taken,
    Outdated,
    Faded,
    Odd,
}

/// A load that a connection can have, in work a second: beyond it what is divided by it is no number any more.
pub fn load(x: f64) -> Option<f64> {
    (1e-9..=1e9).contains(&x).then_some(x)
}

/// A count in the range that it can have.
fn count(x: f64) -> Option<f64> {
    (x.is_finite() && (0.0..1e15).contains(&x)).then_some(x)
}

impl Balancer {
    /// Reads on: so many things at most, and where to go on from. What changes between two portions is read as it is then:
    /// each thing stands for itself.
    pub fn recollect(&self, from: Cursor, most: usize, out: &mut Vec<Known>) -> Cursor {
        let end = out.len() + most;
        let mut at = from;
        while out.len() < end && at != Cursor::End {
            let room = end - out.len();
            at = match at {
                Cursor::Start => {
                    out.push(Known::Flow(self.flow()));
                    Cursor::Server(None)
                }
                Cursor::Server(last) => self.read_servers(last, room, out),
                Cursor::Group(last) => {
                    let mut behind = None;
                    for (group, (seen, at)) in self.groups.range((after(last), Unbounded)).take(room) {
                        out.push(Known::Group { group: *group, seen: *seen, last: at.map(|s| s.0) });
                        behind = Some(*group);
                    }
                    if out.len() < end { Cursor::Place(None) } else { Cursor::Group(behind) }
                }
                Cursor::Place(last) => {
                    let mut behind = None;
                    for (key, r) in self.reserved.range((after(last), Unbounded)).take(room) {
                        let (server, load, until) = (r.server.0, r.load, r.until);
                        out.push(Known::Place(Place { key: *key, server, load, until }));
                        behind = Some(*key);
                    }
                    if out.len() < end { Cursor::Stands(None) } else { Cursor::Place(behind) }
                }
                Cursor::Stands(last) => self.read_standing(last, room, out),
                Cursor::End => Cursor::End,
            };
        }
        at
    }

    fn flow(&self) -> Flow {
        Flow {
            seen: self.seen,
            rate: self.rate,
            span: self.span,
            moves: self.moves,
            mean: self.mean,
            class_load: self.class_load.clone(),
            pace: self.pace,
        }
    }

    fn read_servers(&self, last: Option<ServerId>, room: usize, out: &mut Vec<Known>) -> Cursor {
        let (mut read, mut behind) = (0, None);
        for (id, s) in self.servers.range((after(last), Unbounded)).take(room) {
            out.push(Known::Server(KnownServer {
                server: id.0,
                born: s.entry.started_at,
                health: s.health,
                spent_until: s.slow_until,
                locked: s.locked.then_some((s.retry_at, s.backoff)),
                entries: s.entries,
                drops: s.drops,
            }));
            (read, behind) = (read + 1, Some(*id));
        }
        if read < room { Cursor::Group(None) } else { Cursor::Server(behind) }
    }

    /// Looks at so many clients at most, whether they stand or not.
    fn read_standing(&self, last: Option<RequestId>, room: usize, out: &mut Vec<Known>) -> Cursor {
        let (mut looked, mut behind) = (0, None);
        for (id, c) in self.clients.range((after(last), Unbounded)).take(room) {
            (looked, behind) = (looked + 1, Some(*id));
            // Who was told to move is expected elsewhere.
            if let (Some(server), false, true) = (c.on, c.answered, c.request.key != 0) {
                let place = Place { key: c.request.key, server: server.0, load: c.load, until: 0.0 };
                out.push(Known::Stands(place));
            }
        }
        if looked < room { Cursor::End } else { Cursor::Stands(behind) }
    }

    /// Recalls what one before has known `past` seconds ago. The list is to be told first. For a process that goes on
    /// with the connections of the one before, those that stand are not `away`: they are told of by themselves.
    pub fn recall(&mut self, now: f64, past: f64, away: bool, known: &[Known]) -> Recalled {
        let past = past.max(0.0);
        let mut recalled = Recalled::default();
        for known in known {
            recalled.count(match known {
                Known::Flow(flow) => self.recall_flow(past, flow),
                Known::Server(server) => self.recall_server(now, past, server),
                Known::Group { group, seen, last } => self.recall_group(past, (*group, *seen, *last)),
                Known::Place(place) => self.recall_place(now, place),
                Known::Stands(place) if away => {
                    let span = self.set.max_retry_after.max(self.set.parked_connection_timeout) * LATENCY;
                    let until = now - past + span * (1.0 + self.draw());
                    self.recall_place(now, &Place { until, ..*place })
                }
                Known::Stands(_) => continue,
            });
        }
        recalled
    }

    fn recall_flow(&mut self, past: f64, flow: &Flow) -> Fate {
        let all = [flow.seen, flow.rate, flow.span, flow.moves, flow.mean, flow.pace];
        let loads = flow.class_load.iter().chain([&flow.mean]);
        if all.into_iter().any(|x| count(x).is_none())
            || loads.into_iter().any(|x| *x != 0.0 && load(*x).is_none())
        {
            return Fate::Odd;
        }
        self.seen += flow.seen * KEEP.powf(past);
        let kept = MEMORY.powf(past);
        self.rate += flow.rate * kept;
        self.span = (flow.span * kept + (1.0 - kept) / (1.0 - MEMORY)).max(1.0);
        self.steady = self.rate / self.span;
        self.moves += flow.moves;
        // A pace that was lowered by failures a while ago speaks of a fleet of that time; it grows with each good set-up.
        let lowest = flow.pace.clamp(PACE_LEAST, PACE_FREE);
        self.pace = self.pace.min(lowest + (PACE_FREE - lowest) * (1.0 - kept));
        for (own, load) in self.class_load.iter_mut().zip(&flow.class_load) {
            if *own <= 0.0 {
                *own = *load;
            }
        }
        if self.mean <= 0.0
            && let Some(mean) = sane(flow.mean)
        {
            self.revalue(mean);
        }
        Fate::Taken
    }

    fn recall_server(&mut self, now: f64, past: f64, known: &KnownServer) -> Fate {
        let (retry_at, backoff) = known.locked.unwrap_or_default();
        let counts = [known.entries, known.drops, backoff].into_iter().all(|x| count(x).is_some());
        let times = [known.spent_until, known.born, retry_at].into_iter().all(f64::is_finite);
        let share = known.health > 0.0 && known.health <= 1.0;
        if !counts || !times || !share {
            return Fate::Odd;
        }
        let longest = self.set.warm_up_time.max(self.set.connect_timeout);
        let Some(s) = self.servers.get_mut(&ServerId(known.server)) else { return Fate::Outdated };
        if s.entry.started_at != known.born {
            return Fate::Outdated;
        }
        s.health = s.health.min(1.0 - (1.0 - known.health.max(LEAST)) * (1.0 - REGAIN).powf(past));
        s.slow_until = s.slow_until.max(known.spent_until.min(now + longest));
        if let Some((retry_at, backoff)) = known.locked.filter(|_| !s.locked && s.open == 0) {
            // A trial will tell whether it can be reached now.
            (s.locked, s.backoff) = (true, backoff.min(longest));
            s.retry_at = retry_at.min(now + s.backoff);
        }
        // What was let in then is in, whether it stands or came again.
        s.entries = s.entries.max(known.entries);
        s.drops = s.drops.max(known.drops * DROPS_KEEP.powf(past));
        Fate::Taken
    }

    fn recall_group(&mut self, past: f64, (group, seen, last): (u64, f64, Option<u64>)) -> Fate {
        let Some(seen) = count(seen) else { return Fate::Odd };
        let seen = seen * KEEP.powf(past);
        if seen <= 0.05 || (self.groups.len() >= GROUPS_MOST && !self.groups.contains_key(&group)) {
            return Fate::Faded;
        }
        let last = last.map(ServerId).filter(|s| self.servers.contains_key(s));
        let own = self.groups.entry(group).or_insert((0.0, None));
        *own = (own.0 + seen, own.1.or(last));
        Fate::Taken
    }

    fn recall_place(&mut self, now: f64, place: &Place) -> Fate {
        let longest = self.set.max_retry_after.max(self.set.parked_connection_timeout) * LATENCY * 2.0;
        let Some(load) = load(place.load).filter(|_| place.key != 0 && place.until.is_finite()) else {
            return Fate::Odd;
        };
        if place.until <= now || self.reserved.len() >= KEYS_MOST || self.reserved.contains_key(&place.key) {
            return Fate::Faded;
        }
        let server = ServerId(place.server);
        if !self.servers.contains_key(&server) {
            return Fate::Outdated;
        }
        let until = place.until.min(now + longest);
        self.reserved.insert(place.key, Reservation { server, load, until });
        self.unuse(server, -load);
        Fate::Taken
    }
}

fn after<T>(last: Option<T>) -> std::ops::Bound<T> {
    last.map_or(Unbounded, Excluded)
}
