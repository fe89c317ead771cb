//! Who asks for connections: traffic, clients' lives and their returns.
//!
//! Each client is a small state machine (`client.rs`); [`ClientPopulation`] holds them all over one queue of wake-ups and says
//! what they do as [`ClientAction`]. It knows neither balancers nor nodes: the world carries what clients do through the
//! front and tells what they hear. The formulas were fitted to the simulator's clients (`docs/design/emulator-people.md`).

mod capacity;
mod client;
mod client_table;
mod groups;
mod start;
mod traffic;

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::day::{Day, Fault, FaultKind};
use crate::edge::{ConnId, End, RequestLine};

pub use capacity::{Capacity, capacity};
pub use client::ClientInput;

use client::{AbsenceReason, Client, State, WakeUp};
use client_table::{ClientIndex, ClientTable};
use groups::Groups;
use traffic::{CountChange, Traffic};

/// Place of a client's account: its class, its tenant, and whether it is within its tenant's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell(pub u32);

impl Cell {
    /// The cell of a class and a tenant in a day with so many tenants.
    pub fn new(class: u32, tenant: u32, within: bool, tenants: usize) -> Cell {
        Cell((class * tenants.max(1) as u32 + tenant) * 2 + u32::from(within))
    }

    /// Its class, its tenant, and whether it is within the tenant's share.
    pub fn parts(self, tenants: usize) -> (u32, u32, bool) {
        let place = self.0 / 2;
        let tenants = tenants.max(1) as u32;
        (place / tenants, place % tenants, self.0 % 2 == 1)
    }
}

/// What a client's connections load a node with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadProfile {
    /// Mean load in usual loads: the client's own, for its whole life.
    pub mean: f64,
    /// The draws of this one connection (idle, swings) follow from it.
    pub seed: u64,
}

/// What clients do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientAction {
    /// From now on a client wants its connection; `first` for a new client, else one that had paused.
    Wants {
        /// Its account.
        cell: Cell,
        /// It is a new client.
        first: bool,
    },
    /// A client wants it no more.
    WantsNoMore {
        /// Its account.
        cell: Cell,
    },
    /// A client connects through the front of its zone and sends its first line.
    Connect {
        /// The first line; [`RequestLine::home`] is set where the connection stood before the day.
        ask: RequestLine,
        /// Place of its zone.
        zone: u32,
        /// Its account.
        cell: Cell,
        /// What it will load its node with.
        profile: LoadProfile,
    },
    /// A standing connection's client has had all that it wanted.
    Done {
        /// The connection.
        conn: ConnId,
    },
    /// A client hangs up, waiting or standing.
    Leave {
        /// The connection.
        conn: ConnId,
    },
}

/// A wake-up: of a client in the place it had then, or of all traffic.
type Wake = Reverse<(Micros, u64, WakeUp, ClientIndex)>;

/// All clients of a day.
#[derive(Debug)]
pub struct ClientPopulation {
    day: Day,
    rng: Pcg64Mcg,
    traffic: Traffic,
    groups: Groups,
    crowd: ClientTable,
    wakes: BinaryHeap<Wake>,
    /// Orders wake-ups of the same time.
    sequence: u64,
    /// The client of each connection, by number; [`ClientIndex::NOBODY`] once the connection is over.
    conns: Vec<ClientIndex>,
}

impl ClientPopulation {
    /// The clients of this day, before its start.
    pub fn new(day: &Day, mut rng: Pcg64Mcg) -> ClientPopulation {
        let capacity = capacity(day);
        let groups = Groups::new(day, &capacity, &mut rng);
        let traffic = Traffic::new(day, &capacity, &mut rng);
        ClientPopulation {
            day: day.clone(),
            rng,
            traffic,
            groups,
            crowd: ClientTable::default(),
            wakes: BinaryHeap::new(),
            sequence: 0,
            conns: Vec::new(),
        }
    }

    /// Lets those who stand when the day starts connect, at time 0. Called once, first.
    pub fn standing(&mut self, out: &mut Vec<ClientAction>) {
        for stood in start::standing(&self.day, &self.traffic, &self.groups, &mut self.rng) {
            let client = self.draw(0, stood.tenant, Some(&stood));
            let rest = self.traffic.rest(client.class, &mut self.rng).max(start::LEAST_REST);
            let place = self.enter(client, rest, out);
            self.connect(0, place, Some(stood.home), out);
        }
    }

    /// When somebody does something next.
    pub fn next_due(&self) -> Option<Micros> {
        let wake = self.wakes.peek().map(|Reverse((at, ..))| *at);
        self.traffic.next_due().into_iter().chain(wake).min()
    }

    /// Lets everything happen that is due up to now.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<ClientAction>) {
        loop {
            let wake = self.wakes.peek().map(|Reverse((at, ..))| *at).filter(|at| *at <= now);
            let turn = self.traffic.next_due().filter(|at| *at <= now);
            match (wake, turn) {
                (None, None) => return,
                (Some(w), t) if t.is_none_or(|t| w <= t) => {
                    if let Some(Reverse((at, _, next, place))) = self.wakes.pop() {
                        self.wakes_up(at, next, place, out);
                    }
                }
                _ => {
                    if let Some((at, turn)) = self.traffic.pop(&mut self.rng) {
                        self.turns(at, turn, out);
                    }
                }
            }
        }
    }

    fn turns(&mut self, at: Micros, turn: CountChange, out: &mut Vec<ClientAction>) {
        match turn {
            CountChange::Comes => {
                let tenant = self.traffic.tenant(at, &mut self.rng);
                let client = self.draw(at, tenant, None);
                let life = self.traffic.life(client.class, &mut self.rng);
                let place = self.enter(client, life, out);
                self.connect(at, place, None, out);
            }
            // Where numbers fall, anybody may be who leaves.
            CountChange::Goes => {
                if let Some(place) = self.crowd.any(&mut self.rng) {
                    self.over(place, out);
                }
            }
        }
    }

    /// Draws a client that comes now, or one that has stood in this group before the day.
    fn draw(&mut self, now: Micros, tenant: u32, stood: Option<&start::InitialConnection>) -> Client {
        let day = &self.day;
        let rng = &mut self.rng;
        let class = stood.map_or_else(|| self.traffic.class(rng), |s| s.class);
        let within = rng.random_bool(self.traffic.within(now, tenant));
        let mean = stood.map_or_else(|| self.traffic.load(class, rng), |s| s.mean);
        let group = stood.map_or_else(|| self.groups.draw(rng), |s| s.group);
        Client {
            key: rng.random_range(1..=u64::MAX),
            group: self.groups.id(group),
            class,
            tenant,
            zone: self.traffic.zone(rng),
            cell: Cell::new(class, tenant, within, day.tenants.len()),
            mean,
            since: now,
            until: now,
            honours: rng.random_bool(day.clients.honour.clamp(0.0, 1.0)),
            impatient: rng.random_bool(day.clients.impatient.clamp(0.0, 1.0)),
            failures: 0,
            state: State::Away,
        }
    }

    fn enter(&mut self, mut client: Client, life: Micros, out: &mut Vec<ClientAction>) -> ClientIndex {
        client.until = client.since + life.max(1);
        out.push(ClientAction::Wants { cell: client.cell, first: true });
        let until = client.until;
        let place = self.crowd.add(client);
        self.wake(until, WakeUp::HasHadAll, place);
        place
    }

    fn wake(&mut self, at: Micros, next: WakeUp, place: ClientIndex) {
        self.sequence += 1;
        self.wakes.push(Reverse((at, self.sequence, next, place)));
    }

    fn connect(
        &mut self,
        now: Micros,
        place: ClientIndex,
        home: Option<crate::edge::NodeId>,
        out: &mut Vec<ClientAction>,
    ) {
        let Some(client) = self.crowd.get_mut(place) else { return };
        let conn = ConnId(self.conns.len() as u64);
        let class = &self.day.classes[client.class as usize];
        let again = client.since < now;
        let ask = RequestLine {
            conn,
            key: client.key,
            class: client.class,
            tenant: client.tenant,
            group: client.group,
            patience: class.give_up,
            hint: None,
            retry: self.day.clients.marks_retry && client.failures > 0,
            again,
            home,
        };
        client.state = State::Waiting { conn, sent: now };
        let profile = LoadProfile { mean: client.mean, seed: self.rng.random() };
        out.push(ClientAction::Connect { ask, zone: client.zone, cell: client.cell, profile });
        let gives_up = now + class.give_up + self.day.rules.answer_slack;
        self.conns.push(place);
        self.wake(gives_up, WakeUp::GivesUp { conn }, place);
    }

    fn wakes_up(&mut self, at: Micros, next: WakeUp, place: ClientIndex, out: &mut Vec<ClientAction>) {
        let Some(client) = self.crowd.get_mut(place) else { return };
        match next {
            // Else a pause has made its life longer.
            WakeUp::HasHadAll if client.until <= at => self.over(place, out),
            WakeUp::ComesAgain if client.state == State::Away => self.connect(at, place, None, out),
            WakeUp::Resumes if client.state == State::Paused => {
                out.push(ClientAction::Wants { cell: client.cell, first: false });
                self.connect(at, place, None, out);
            }
            WakeUp::GivesUp { conn } => {
                if let State::Waiting { conn: c, sent } = client.state
                    && c == conn
                {
                    // No answer in its time: the wait counts from the end of its patience, not from the slack's.
                    let end = sent + self.day.classes[client.class as usize].give_up;
                    out.push(ClientAction::Leave { conn });
                    self.forget(conn);
                    self.failed(end, at, place, None);
                }
            }
            WakeUp::HasHadAll | WakeUp::ComesAgain | WakeUp::Resumes => {}
        }
    }

    /// A client's answer has come, or a word that ends its connection.
    pub fn answered(&mut self, now: Micros, conn: ConnId, heard: ClientInput) {
        let Some((place, client)) = self.whose(conn) else { return };
        match (heard, client.state) {
            (ClientInput::Up, State::Waiting { .. }) => {
                client.state = State::Standing { conn };
                client.failures = 0;
            }
            (ClientInput::Up, _) => {}
            (ClientInput::Move, State::Standing { .. }) => {
                self.forget(conn);
                self.again(now, place, AbsenceReason::Moved);
            }
            (ClientInput::Busy(wait), State::Waiting { .. }) => {
                self.forget(conn);
                self.failed(now, now, place, Some(wait));
            }
            _ => {
                self.forget(conn);
                self.failed(now, now, place, None);
            }
        }
    }

    /// A client's connection is over without a word.
    pub fn ended(&mut self, now: Micros, conn: ConnId, _end: End) {
        let Some((place, client)) = self.whose(conn) else { return };
        let stood = matches!(client.state, State::Standing { .. });
        self.forget(conn);
        if stood {
            self.again(now, place, AbsenceReason::Broken);
        } else {
            self.failed(now, now, place, None);
        }
    }

    /// A fault strikes the clients, from now on for its length.
    pub fn struck(&mut self, now: Micros, fault: &Fault, out: &mut Vec<ClientAction>) {
        match fault.kind {
            FaultKind::Reconnect => self.reconnect(now, fault, out),
            FaultKind::Surge => self.traffic.surge(now, fault, None, &mut self.rng),
            FaultKind::TenantFlood => {
                let tenant = fault.on.first().copied().unwrap_or(0);
                self.traffic.surge(now, fault, Some(tenant), &mut self.rng);
            }
            _ => {}
        }
    }

    /// Each standing connection drops with the fault's chance, all at once; each client comes again within the
    /// fault's length. While it is away it asks for nothing.
    fn reconnect(&mut self, now: Micros, fault: &Fault, out: &mut Vec<ClientAction>) {
        const LEAST_AWAY: Micros = 200_000;
        const LAST_STAND: Micros = 50_000;
        for place in self.crowd.places() {
            let Some(client) = self.crowd.get_mut(place) else { continue };
            let State::Standing { conn } = client.state else { continue };
            if !fault.on.is_empty() && !fault.on.contains(&client.tenant) {
                continue;
            }
            if !self.rng.random_bool(fault.size.clamp(0.0, 1.0)) {
                continue;
            }
            let back = now + LEAST_AWAY + self.rng.random_range(0..=fault.len);
            client.state = State::Paused;
            // All come again, even those whose life is over by then: they ask, stand, and are done at once.
            client.until = client.until.max(back + LAST_STAND);
            out.push(ClientAction::Leave { conn });
            out.push(ClientAction::WantsNoMore { cell: client.cell });
            let until = client.until;
            self.forget(conn);
            self.wake(back, WakeUp::Resumes, place);
            self.wake(until, WakeUp::HasHadAll, place);
        }
    }

    /// A try has failed at `from`; told now.
    fn failed(&mut self, from: Micros, now: Micros, place: ClientIndex, wait: Option<Micros>) {
        let Some(client) = self.crowd.get_mut(place) else { return };
        client.failures += 1;
        let waited = match client.state {
            State::Waiting { sent, .. } => from.saturating_sub(sent),
            _ => 0,
        };
        if client.impatient && waited > self.day.classes[client.class as usize].give_up / 2 {
            // Left for good; what it wanted stays asked for until its life would have ended.
            client.state = State::Gone;
            return;
        }
        let gap = AbsenceReason::Failed { failures: client.failures, wait: wait.filter(|_| client.honours) };
        self.again_from(from, now, place, gap);
    }

    fn again(&mut self, now: Micros, place: ClientIndex, gap: AbsenceReason) {
        self.again_from(now, now, place, gap);
    }

    fn again_from(&mut self, from: Micros, now: Micros, place: ClientIndex, gap: AbsenceReason) {
        let Some(client) = self.crowd.get_mut(place) else { return };
        client.state = State::Away;
        let back = (from + gap.draw(&self.day.clients, &mut self.rng)).max(now + 1);
        if back < client.until {
            self.wake(back, WakeUp::ComesAgain, place);
        }
    }

    /// A client wants nothing more.
    fn over(&mut self, place: ClientIndex, out: &mut Vec<ClientAction>) {
        let Some(client) = self.crowd.get(place) else { return };
        let (state, cell) = (client.state, client.cell);
        match state {
            State::Waiting { conn, .. } => {
                out.push(ClientAction::Leave { conn });
                self.forget(conn);
            }
            State::Standing { conn } => {
                out.push(ClientAction::Done { conn });
                self.forget(conn);
            }
            State::Away | State::Gone | State::Paused => {}
        }
        if state != State::Paused {
            out.push(ClientAction::WantsNoMore { cell });
        }
        self.crowd.remove(place);
    }

    fn whose(&mut self, conn: ConnId) -> Option<(ClientIndex, &mut Client)> {
        let place = *self.conns.get(conn.0 as usize)?;
        self.crowd.get_mut(place).map(|client| (place, client))
    }

    fn forget(&mut self, conn: ConnId) {
        if let Some(place) = self.conns.get_mut(conn.0 as usize) {
            *place = ClientIndex::NOBODY;
        }
    }

    /// Clients that want a connection now.
    pub fn present(&self) -> usize {
        self.crowd.len()
    }
}

#[cfg(test)]
pub(crate) mod tests;
