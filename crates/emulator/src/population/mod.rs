//! The client population: arrivals, lifetimes and reconnects.
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
        let index = self.0 / 2;
        let tenants = tenants.max(1) as u32;
        (index / tenants, index % tenants, self.0 % 2 == 1)
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
    ServiceWanted {
        /// Its account.
        cell: Cell,
        /// It is a new client.
        first: bool,
    },
    /// A client wants it no more.
    ServiceNoLongerWanted {
        /// Its account.
        cell: Cell,
    },
    /// A client connects through the front of its zone and sends its first line.
    Connect {
        /// The first line; [`RequestLine::previous_node`] is set where the connection stood before the day.
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
    clients: ClientTable,
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
            clients: ClientTable::default(),
            wakes: BinaryHeap::new(),
            sequence: 0,
            conns: Vec::new(),
        }
    }

    /// Lets those who stand when the day starts connect, at time 0. Called once, first.
    pub fn connect_initial_clients(&mut self, actions: &mut Vec<ClientAction>) {
        for initial in start::standing(&self.day, &self.traffic, &self.groups, &mut self.rng) {
            let client = self.draw_client(0, initial.tenant, Some(&initial));
            let rest = self.traffic.rest(client.class, &mut self.rng).max(start::MIN_REMAINING_LIFETIME);
            let index = self.add_client(client, rest, actions);
            self.connect(0, index, Some(initial.home), actions);
        }
    }

    /// When somebody does something next.
    pub fn next_due(&self) -> Option<Micros> {
        let wake = self.wakes.peek().map(|Reverse((at, ..))| *at);
        self.traffic.next_due().into_iter().chain(wake).min()
    }

    /// Lets everything happen that is due up to now.
    pub fn advance(&mut self, now: Micros, actions: &mut Vec<ClientAction>) {
        loop {
            let wake = self.wakes.peek().map(|Reverse((at, ..))| *at).filter(|at| *at <= now);
            let change = self.traffic.next_due().filter(|at| *at <= now);
            match (wake, change) {
                (None, None) => return,
                (Some(w), t) if t.is_none_or(|t| w <= t) => {
                    if let Some(Reverse((at, _, next, index))) = self.wakes.pop() {
                        self.on_wake_up(at, next, index, actions);
                    }
                }
                _ => {
                    if let Some((at, change)) = self.traffic.pop(&mut self.rng) {
                        self.apply_count_change(at, change, actions);
                    }
                }
            }
        }
    }

    fn apply_count_change(&mut self, at: Micros, change: CountChange, actions: &mut Vec<ClientAction>) {
        match change {
            CountChange::Arrival => {
                let tenant = self.traffic.tenant(at, &mut self.rng);
                let client = self.draw_client(at, tenant, None);
                let life = self.traffic.life(client.class, &mut self.rng);
                let index = self.add_client(client, life, actions);
                self.connect(at, index, None, actions);
            }
            // Where numbers fall, anybody may be who leaves.
            CountChange::Departure => {
                if let Some(index) = self.clients.any(&mut self.rng) {
                    self.over(index, actions);
                }
            }
        }
    }

    /// Draws a client that comes now, or one that has stood in this group before the day.
    fn draw_client(
        &mut self,
        now: Micros,
        tenant: u32,
        initial: Option<&start::InitialConnection>,
    ) -> Client {
        let day = &self.day;
        let rng = &mut self.rng;
        let class = initial.map_or_else(|| self.traffic.class(rng), |s| s.class);
        let within = rng.random_bool(self.traffic.within(now, tenant));
        let mean = initial.map_or_else(|| self.traffic.load(class, rng), |s| s.mean);
        let group = initial.map_or_else(|| self.groups.draw(rng), |s| s.group);
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

    fn add_client(
        &mut self,
        mut client: Client,
        life: Micros,
        actions: &mut Vec<ClientAction>,
    ) -> ClientIndex {
        client.until = client.since + life.max(1);
        actions.push(ClientAction::ServiceWanted { cell: client.cell, first: true });
        let until = client.until;
        let index = self.clients.add(client);
        self.schedule_wake_up(until, WakeUp::HasHadAll, index);
        index
    }

    fn schedule_wake_up(&mut self, at: Micros, next: WakeUp, index: ClientIndex) {
        self.sequence += 1;
        self.wakes.push(Reverse((at, self.sequence, next, index)));
    }

    fn connect(
        &mut self,
        now: Micros,
        index: ClientIndex,
        home: Option<crate::edge::NodeId>,
        actions: &mut Vec<ClientAction>,
    ) {
        let Some(client) = self.clients.get_mut(index) else { return };
        let conn = ConnId(self.conns.len() as u64);
        let class = &self.day.classes[client.class as usize];
        let again = client.since < now;
        let ask = RequestLine {
            conn,
            key: client.key,
            class: client.class,
            tenant: client.tenant,
            group: client.group,
            timeout: class.give_up,
            hint: None,
            retry: self.day.clients.marks_retry && client.failures > 0,
            is_reconnect: again,
            previous_node: home,
        };
        client.state = State::Waiting { conn, sent: now };
        let profile = LoadProfile { mean: client.mean, seed: self.rng.random() };
        actions.push(ClientAction::Connect { ask, zone: client.zone, cell: client.cell, profile });
        let gives_up = now + class.give_up + self.day.rules.answer_slack;
        self.conns.push(index);
        self.schedule_wake_up(gives_up, WakeUp::GivesUp { conn }, index);
    }

    fn on_wake_up(&mut self, at: Micros, next: WakeUp, index: ClientIndex, actions: &mut Vec<ClientAction>) {
        let Some(client) = self.clients.get_mut(index) else { return };
        match next {
            // Else a pause has made its life longer.
            WakeUp::HasHadAll if client.until <= at => self.over(index, actions),
            WakeUp::ComesAgain if client.state == State::Away => self.connect(at, index, None, actions),
            WakeUp::Resumes if client.state == State::Paused => {
                actions.push(ClientAction::ServiceWanted { cell: client.cell, first: false });
                self.connect(at, index, None, actions);
            }
            WakeUp::GivesUp { conn } => {
                if let State::Waiting { conn: c, sent } = client.state
                    && c == conn
                {
                    // No answer in its time: the wait counts from the end of its patience, not from the slack's.
                    let end = sent + self.day.classes[client.class as usize].give_up;
                    actions.push(ClientAction::Leave { conn });
                    self.forget(conn);
                    self.on_attempt_failed(end, at, index, None);
                }
            }
            WakeUp::HasHadAll | WakeUp::ComesAgain | WakeUp::Resumes => {}
        }
    }

    /// A client's answer has come, or a word that ends its connection.
    pub fn on_answer(&mut self, now: Micros, conn: ConnId, input: ClientInput) {
        let Some((index, client)) = self.whose(conn) else { return };
        match (input, client.state) {
            (ClientInput::Up, State::Waiting { .. }) => {
                client.state = State::Standing { conn };
                client.failures = 0;
            }
            (ClientInput::Up, _) => {}
            (ClientInput::Move, State::Standing { .. }) => {
                self.forget(conn);
                self.reconnect_later(now, index, AbsenceReason::Moved);
            }
            (ClientInput::Busy(wait), State::Waiting { .. }) => {
                self.forget(conn);
                self.on_attempt_failed(now, now, index, Some(wait));
            }
            _ => {
                self.forget(conn);
                self.on_attempt_failed(now, now, index, None);
            }
        }
    }

    /// A client's connection is over without a word.
    pub fn on_connection_closed(&mut self, now: Micros, conn: ConnId, _end: End) {
        let Some((index, client)) = self.whose(conn) else { return };
        let initial = matches!(client.state, State::Standing { .. });
        self.forget(conn);
        if initial {
            self.reconnect_later(now, index, AbsenceReason::Broken);
        } else {
            self.on_attempt_failed(now, now, index, None);
        }
    }

    /// A fault strikes the clients, from now on for its length.
    pub fn apply_fault(&mut self, now: Micros, fault: &Fault, actions: &mut Vec<ClientAction>) {
        match fault.kind {
            FaultKind::Reconnect => self.reconnect(now, fault, actions),
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
    fn reconnect(&mut self, now: Micros, fault: &Fault, actions: &mut Vec<ClientAction>) {
        const MIN_RECONNECT_DELAY: Micros = 200_000;
        const MIN_LIFETIME_AFTER_RECONNECT: Micros = 50_000;
        for index in self.clients.indices() {
            let Some(client) = self.clients.get_mut(index) else { continue };
            let State::Standing { conn } = client.state else { continue };
            if !fault.on.is_empty() && !fault.on.contains(&client.tenant) {
                continue;
            }
            if !self.rng.random_bool(fault.size.clamp(0.0, 1.0)) {
                continue;
            }
            let back = now + MIN_RECONNECT_DELAY + self.rng.random_range(0..=fault.len);
            client.state = State::Paused;
            // All come again, even those whose life is over by then: they ask, stand, and are done at once.
            client.until = client.until.max(back + MIN_LIFETIME_AFTER_RECONNECT);
            actions.push(ClientAction::Leave { conn });
            actions.push(ClientAction::ServiceNoLongerWanted { cell: client.cell });
            let until = client.until;
            self.forget(conn);
            self.schedule_wake_up(back, WakeUp::Resumes, index);
            self.schedule_wake_up(until, WakeUp::HasHadAll, index);
        }
    }

    /// A try has failed at `from`; told now.
    fn on_attempt_failed(&mut self, from: Micros, now: Micros, index: ClientIndex, wait: Option<Micros>) {
        let Some(client) = self.clients.get_mut(index) else { return };
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
        self.reconnect_later_from(from, now, index, gap);
    }

    fn reconnect_later(&mut self, now: Micros, index: ClientIndex, gap: AbsenceReason) {
        self.reconnect_later_from(now, now, index, gap);
    }

    fn reconnect_later_from(&mut self, from: Micros, now: Micros, index: ClientIndex, gap: AbsenceReason) {
        let Some(client) = self.clients.get_mut(index) else { return };
        client.state = State::Away;
        let back = (from + gap.draw(&self.day.clients, &mut self.rng)).max(now + 1);
        if back < client.until {
            self.schedule_wake_up(back, WakeUp::ComesAgain, index);
        }
    }

    /// A client wants nothing more.
    fn over(&mut self, index: ClientIndex, actions: &mut Vec<ClientAction>) {
        let Some(client) = self.clients.get(index) else { return };
        let (state, cell) = (client.state, client.cell);
        match state {
            State::Waiting { conn, .. } => {
                actions.push(ClientAction::Leave { conn });
                self.forget(conn);
            }
            State::Standing { conn } => {
                actions.push(ClientAction::Done { conn });
                self.forget(conn);
            }
            State::Away | State::Gone | State::Paused => {}
        }
        if state != State::Paused {
            actions.push(ClientAction::ServiceNoLongerWanted { cell });
        }
        self.clients.remove(index);
    }

    fn whose(&mut self, conn: ConnId) -> Option<(ClientIndex, &mut Client)> {
        let index = *self.conns.get(conn.0 as usize)?;
        self.clients.get_mut(index).map(|client| (index, client))
    }

    fn forget(&mut self, conn: ConnId) {
        if let Some(index) = self.conns.get_mut(conn.0 as usize) {
            *index = ClientIndex::NOBODY;
        }
    }

    /// Clients that want a connection now.
    pub fn present(&self) -> usize {
        self.clients.len()
    }
}

#[cfg(test)]
pub(crate) mod tests;
