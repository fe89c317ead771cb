//! The client population: arrivals, lifetimes and reconnects.
//!
//! Each client is a small state machine (`client.rs`). [`ClientPopulation`] holds all clients and one queue
//! of their wake-ups, and reports what they do as [`ClientAction`]. It knows neither balancers nor nodes: the
//! world passes the actions through the front and delivers the answers to the clients. The formulas were
//! fitted to the simulator's clients (`docs/design/emulator-people.md`).

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

/// The index of a client's account, given by its class, its tenant, and whether it is within its tenant's
/// share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell(pub u32);

impl Cell {
    /// The cell of a class, a tenant, and whether clients are `within` the tenant's share, in a day with
    /// `tenants` tenants.
    pub fn new(class: u32, tenant: u32, within: bool, tenants: usize) -> Cell {
        Cell((class * tenants.max(1) as u32 + tenant) * 2 + u32::from(within))
    }

    /// The cell's class, its tenant, and whether it is within the tenant's share.
    pub fn parts(self, tenants: usize) -> (u32, u32, bool) {
        let index = self.0 / 2;
        let tenants = tenants.max(1) as u32;
        (index / tenants, index % tenants, self.0 % 2 == 1)
    }
}

/// The load that a client's connection puts on its node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadProfile {
    /// The mean load of the client, in usual loads, which is the same for all of its connections.
    pub mean: f64,
    /// A random number of this connection. The node model does not use it: it derives the variation of the
    /// load from the client's key.
    pub seed: u64,
}

/// An action of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientAction {
    /// A client wants to be connected from now on.
    ServiceWanted {
        /// The client's account.
        cell: Cell,
        /// True for a new client, false for one that resumes after a pause.
        first: bool,
    },
    /// A client no longer wants to be connected.
    ServiceNoLongerWanted {
        /// The client's account.
        cell: Cell,
    },
    /// A client connects through the front of its zone and sends its request.
    Connect {
        /// The request; [`RequestLine::previous_node`] is set if the connection was established before the day.
        ask: RequestLine,
        /// The index of the client's zone.
        zone: u32,
        /// The client's account.
        cell: Cell,
        /// The load that the connection will put on its node.
        profile: LoadProfile,
    },
    /// A client with an established connection has reached the end of its lifetime.
    Done {
        /// The connection.
        conn: ConnId,
    },
    /// A client closes its connection, established or not.
    Leave {
        /// The connection.
        conn: ConnId,
    },
}

/// A scheduled wake-up of a client: its time, a sequence number, its reason and the client's index.
type ScheduledWakeUp = Reverse<(Micros, u64, WakeUp, ClientIndex)>;

/// The clients of a day.
#[derive(Debug)]
pub struct ClientPopulation {
    day: Day,
    rng: Pcg64Mcg,
    traffic: Traffic,
    groups: Groups,
    clients: ClientTable,
    wake_ups: BinaryHeap<ScheduledWakeUp>,
    /// The last sequence number, which orders wake-ups of the same time.
    sequence: u64,
    /// The client of each connection, by connection number; [`ClientIndex::NONE`] once the connection is
    /// over.
    conns: Vec<ClientIndex>,
}

impl ClientPopulation {
    /// Creates the population of a day before its start, without clients.
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
            wake_ups: BinaryHeap::new(),
            sequence: 0,
            conns: Vec::new(),
        }
    }

    /// Adds the clients whose connections are established when the day starts, at time 0. Must be called
    /// once, before all other methods.
    pub fn connect_initial_clients(&mut self, actions: &mut Vec<ClientAction>) {
        for initial in start::draw_initial_connections(&self.day, &self.traffic, &self.groups, &mut self.rng)
        {
            let client = self.draw_client(0, initial.tenant, Some(&initial));
            let lifetime = self
                .traffic
                .draw_remaining_lifetime(client.class, &mut self.rng)
                .max(start::MIN_REMAINING_LIFETIME);
            let index = self.add_client(client, lifetime, actions);
            self.connect(0, index, Some(initial.home), actions);
        }
    }

    /// The time of the next event.
    pub fn next_due(&self) -> Option<Micros> {
        let wake = self.wake_ups.peek().map(|Reverse((at, ..))| *at);
        self.traffic.next_due().into_iter().chain(wake).min()
    }

    /// Handles all events up to `now`.
    pub fn advance(&mut self, now: Micros, actions: &mut Vec<ClientAction>) {
        loop {
            let wake = self.wake_ups.peek().map(|Reverse((at, ..))| *at).filter(|at| *at <= now);
            let change = self.traffic.next_due().filter(|at| *at <= now);
            match (wake, change) {
                (None, None) => return,
                (Some(w), t) if t.is_none_or(|t| w <= t) => {
                    if let Some(Reverse((at, _, next, index))) = self.wake_ups.pop() {
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
                let tenant = self.traffic.draw_tenant(at, &mut self.rng);
                let client = self.draw_client(at, tenant, None);
                let lifetime = self.traffic.draw_lifetime(client.class, &mut self.rng);
                let index = self.add_client(client, lifetime, actions);
                self.connect(at, index, None, actions);
            }
            // When the number of clients falls, any client may leave.
            CountChange::Departure => {
                if let Some(index) = self.clients.any(&mut self.rng) {
                    self.end_lifetime(index, actions);
                }
            }
        }
    }

    /// Draws a client that arrives now, or the client of an initial connection.
    fn draw_client(
        &mut self,
        now: Micros,
        tenant: u32,
        initial: Option<&start::InitialConnection>,
    ) -> Client {
        let day = &self.day;
        let rng = &mut self.rng;
        let class = initial.map_or_else(|| self.traffic.draw_class(rng), |s| s.class);
        let within = rng.random_bool(self.traffic.within_quota_probability(now, tenant));
        let mean = initial.map_or_else(|| self.traffic.draw_load(class, rng), |s| s.mean);
        let group = initial.map_or_else(|| self.groups.draw(rng), |s| s.group);
        Client {
            key: rng.random_range(1..=u64::MAX),
            group: self.groups.id(group),
            class,
            tenant,
            zone: self.traffic.draw_zone(rng),
            cell: Cell::new(class, tenant, within, day.tenants.len()),
            mean,
            since: now,
            until: now,
            honours_retry_after: rng.random_bool(day.clients.honour.clamp(0.0, 1.0)),
            impatient: rng.random_bool(day.clients.impatient.clamp(0.0, 1.0)),
            failures: 0,
            state: State::Away,
        }
    }

    fn add_client(
        &mut self,
        mut client: Client,
        lifetime: Micros,
        actions: &mut Vec<ClientAction>,
    ) -> ClientIndex {
        client.until = client.since + lifetime.max(1);
        actions.push(ClientAction::ServiceWanted { cell: client.cell, first: true });
        let until = client.until;
        let index = self.clients.add(client);
        self.schedule_wake_up(until, WakeUp::LifetimeEnd, index);
        index
    }

    fn schedule_wake_up(&mut self, at: Micros, next: WakeUp, index: ClientIndex) {
        self.sequence += 1;
        self.wake_ups.push(Reverse((at, self.sequence, next, index)));
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
        let expires = now + class.give_up + self.day.rules.answer_slack;
        self.conns.push(index);
        self.schedule_wake_up(expires, WakeUp::AnswerTimeout { conn }, index);
    }

    fn on_wake_up(&mut self, at: Micros, next: WakeUp, index: ClientIndex, actions: &mut Vec<ClientAction>) {
        let Some(client) = self.clients.get_mut(index) else { return };
        match next {
            // Otherwise a pause has extended the client's lifetime since the wake-up was scheduled.
            WakeUp::LifetimeEnd if client.until <= at => self.end_lifetime(index, actions),
            WakeUp::Reconnect if client.state == State::Away => self.connect(at, index, None, actions),
            WakeUp::Resume if client.state == State::Paused => {
                actions.push(ClientAction::ServiceWanted { cell: client.cell, first: false });
                self.connect(at, index, None, actions);
            }
            WakeUp::AnswerTimeout { conn } => {
                if let State::Waiting { conn: c, sent } = client.state
                    && c == conn
                {
                    // The delay before the next attempt counts from the client's timeout, without the answer
                    // slack.
                    let end = sent + self.day.classes[client.class as usize].give_up;
                    actions.push(ClientAction::Leave { conn });
                    self.unregister_connection(conn);
                    self.on_attempt_failed(end, at, index, None);
                }
            }
            WakeUp::LifetimeEnd | WakeUp::Reconnect | WakeUp::Resume => {}
        }
    }

    /// Handles an answer to a client, or a line that ends its connection.
    pub fn on_answer(&mut self, now: Micros, conn: ConnId, input: ClientInput) {
        let Some((index, client)) = self.client_of(conn) else { return };
        match (input, client.state) {
            (ClientInput::Up, State::Waiting { .. }) => {
                client.state = State::Connected { conn };
                client.failures = 0;
            }
            (ClientInput::Up, _) => {}
            (ClientInput::Move, State::Connected { .. }) => {
                self.unregister_connection(conn);
                self.reconnect_later(now, index, AbsenceReason::Moved);
            }
            (ClientInput::Busy(wait), State::Waiting { .. }) => {
                self.unregister_connection(conn);
                self.on_attempt_failed(now, now, index, Some(wait));
            }
            _ => {
                self.unregister_connection(conn);
                self.on_attempt_failed(now, now, index, None);
            }
        }
    }

    /// Handles the end of a client's connection without an answer.
    pub fn on_connection_closed(&mut self, now: Micros, conn: ConnId, _end: End) {
        let Some((index, client)) = self.client_of(conn) else { return };
        let is_established = matches!(client.state, State::Connected { .. });
        self.unregister_connection(conn);
        if is_established {
            self.reconnect_later(now, index, AbsenceReason::Broken);
        } else {
            self.on_attempt_failed(now, now, index, None);
        }
    }

    /// Begins a fault that affects the clients.
    pub fn apply_fault(&mut self, now: Micros, fault: &Fault, actions: &mut Vec<ClientAction>) {
        match fault.kind {
            FaultKind::Reconnect => self.start_mass_reconnect(now, fault, actions),
            FaultKind::Surge => self.traffic.surge(now, fault, None, &mut self.rng),
            FaultKind::TenantFlood => {
                let tenant = fault.on.first().copied().unwrap_or(0);
                self.traffic.surge(now, fault, Some(tenant), &mut self.rng);
            }
            _ => {}
        }
    }

    /// Closes each established connection with the probability `fault.size`, all at once. Their clients
    /// reconnect within the length of the fault, after a minimum delay, and want no service until then.
    fn start_mass_reconnect(&mut self, now: Micros, fault: &Fault, actions: &mut Vec<ClientAction>) {
        /// The shortest delay before a client reconnects, in microseconds.
        const MIN_RECONNECT_DELAY: Micros = 200_000;
        /// The shortest time for which a client stays connected after it has reconnected, in microseconds.
        const MIN_LIFETIME_AFTER_RECONNECT: Micros = 50_000;
        for index in self.clients.indices() {
            let Some(client) = self.clients.get_mut(index) else { continue };
            let State::Connected { conn } = client.state else { continue };
            if !fault.on.is_empty() && !fault.on.contains(&client.tenant) {
                continue;
            }
            if !self.rng.random_bool(fault.size.clamp(0.0, 1.0)) {
                continue;
            }
            let back = now + MIN_RECONNECT_DELAY + self.rng.random_range(0..=fault.len);
            client.state = State::Paused;
            // All clients reconnect, even those whose lifetime would be over: they are connected only for a
            // moment.
            client.until = client.until.max(back + MIN_LIFETIME_AFTER_RECONNECT);
            actions.push(ClientAction::Leave { conn });
            actions.push(ClientAction::ServiceNoLongerWanted { cell: client.cell });
            let until = client.until;
            self.unregister_connection(conn);
            self.schedule_wake_up(back, WakeUp::Resume, index);
            self.schedule_wake_up(until, WakeUp::LifetimeEnd, index);
        }
    }

    /// Handles a failed attempt: the next delay counts from `from`, and `wait` is the retry-after time if
    /// there was one.
    fn on_attempt_failed(&mut self, from: Micros, now: Micros, index: ClientIndex, wait: Option<Micros>) {
        let Some(client) = self.clients.get_mut(index) else { return };
        client.failures += 1;
        let waited = match client.state {
            State::Waiting { sent, .. } => from.saturating_sub(sent),
            _ => 0,
        };
        if client.impatient && waited > self.day.classes[client.class as usize].give_up / 2 {
            // The client has left for good, but still counts as wanting service until the end of its
            // lifetime.
            client.state = State::Left;
            return;
        }
        let reason = AbsenceReason::Failed {
            failures: client.failures,
            wait: wait.filter(|_| client.honours_retry_after),
        };
        self.reconnect_later_from(from, now, index, reason);
    }

    fn reconnect_later(&mut self, now: Micros, index: ClientIndex, reason: AbsenceReason) {
        self.reconnect_later_from(now, now, index, reason);
    }

    fn reconnect_later_from(&mut self, from: Micros, now: Micros, index: ClientIndex, reason: AbsenceReason) {
        let Some(client) = self.clients.get_mut(index) else { return };
        client.state = State::Away;
        let back = (from + reason.draw(&self.day.clients, &mut self.rng)).max(now + 1);
        if back < client.until {
            self.schedule_wake_up(back, WakeUp::Reconnect, index);
        }
    }

    /// Ends a client's lifetime: closes its connection and removes it.
    fn end_lifetime(&mut self, index: ClientIndex, actions: &mut Vec<ClientAction>) {
        let Some(client) = self.clients.get(index) else { return };
        let (state, cell) = (client.state, client.cell);
        match state {
            State::Waiting { conn, .. } => {
                actions.push(ClientAction::Leave { conn });
                self.unregister_connection(conn);
            }
            State::Connected { conn } => {
                actions.push(ClientAction::Done { conn });
                self.unregister_connection(conn);
            }
            State::Away | State::Left | State::Paused => {}
        }
        if state != State::Paused {
            actions.push(ClientAction::ServiceNoLongerWanted { cell });
        }
        self.clients.remove(index);
    }

    fn client_of(&mut self, conn: ConnId) -> Option<(ClientIndex, &mut Client)> {
        let index = *self.conns.get(conn.0 as usize)?;
        self.clients.get_mut(index).map(|client| (index, client))
    }

    fn unregister_connection(&mut self, conn: ConnId) {
        if let Some(index) = self.conns.get_mut(conn.0 as usize) {
            *index = ClientIndex::NONE;
        }
    }

    /// The number of present clients.
    pub fn present(&self) -> usize {
        self.clients.len()
    }
}

#[cfg(test)]
pub(crate) mod tests;
