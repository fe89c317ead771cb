//! Between the effects and the decisions. The only caller of the decision module: what happens to a peer becomes an
//! event, what the module wants becomes a call on a peer, and microseconds become seconds. It knows no
//! protocol's text, so that another protocol can be put before the same decisions. Before the module stand the
//! [`admission`]s ([`Gate`]).

pub mod admission;
mod budgets;
mod gate;
mod tenants;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use shorewharf_decisions::interface::*;
use shorewharf_settings::operator::Operator;
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

pub use budgets::Budgets;
pub use gate::Gate;
pub use tenants::Tenants;

/// The module asks for the list again at the latest so long after a call has failed.
pub const PAUSE_MOST: Micros = 1_350_000;

/// A req: what a client asks for, in the program's own units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// Its number here; never used twice at once.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// The client's key; 0 for none.
    pub key: u64,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// Expected load in work a second.
    pub load: Option<f64>,
    /// Its group; 0 for none.
    pub group: u64,
    /// The client says that it comes again.
    pub returning: bool,
}

/// What has happened to a peer.
#[derive(Clone, Debug)]
pub enum NetworkEvent {
    /// The director has news of the list.
    Listed {
        /// The whole list.
        full: bool,
        /// The list from the configuration rather than news.
        cached: bool,
        /// The servers.
        entries: Vec<ServerEntry>,
    },
    /// The director's call failed or its watch ended.
    DiscoveryFailed,
    /// A client asks for a connection.
    RequestReceived(ReceivedRequest),
    /// A connection from before this program's start stands again.
    Carried(ReceivedRequest, ServerId),
    /// The fetch that is out for this req has come up.
    AttemptTaken(RequestId),
    /// A standing connection's load is now so much work a second.
    Load(RequestId, f64),
    /// Messages at a server take so long.
    Delay(ServerId, Micros),
    /// The fetch that was out for this req is over, whether it had come up or not.
    AttemptEnded(RequestId, Outcome),
    /// The client has left, or can't be answered any more.
    ClientLeft(RequestId),
    /// A timer of the module's has come.
    TimerFired(u64),
    /// A probe is over.
    Probed(ServerId, Outcome),
    /// What other balancers hold by now; none where too few are heard of.
    Elsewhere(Option<Arc<BTreeMap<ServerId, RemoteLoad>>>),
}

/// What the driver asks of the effects. What comes of it is told as a [`NetworkEvent`], at once or later.
pub trait Effects {
    /// The time, read once a turn.
    fn now(&self) -> Micros;
    /// The next thing that happened.
    fn next(&mut self) -> Option<NetworkEvent>;
    /// Begins a fetch; it may take so long.
    fn begin_attempt(&mut self, req: RequestId, server: ServerId, patience: Micros);
    /// Calls off the fetch that is out, if it has not come up.
    fn cancel_attempt(&mut self, req: RequestId);
    /// Tells the client to come again, after so long if that is more than 0.
    fn refuse(&mut self, req: RequestId, after: Micros);
    /// Tells the client that it is not served.
    fn fail(&mut self, req: RequestId);
    /// Asks a connected client to come again.
    fn move_away(&mut self, req: RequestId);
    /// Checks on a server.
    fn probe(&mut self, server: ServerId);
    /// Opens the watch on the list.
    fn watch(&mut self);
    /// Wakes the module after so long.
    fn wake(&mut self, after: Micros, token: u64);
    /// Writes a line of the module's to the log.
    fn log(&mut self, line: &str);
}

/// What the module believes of a req.
#[derive(Debug, Default)]
struct Sent {
    attempts: u32,
    out: Option<ServerId>,
    stands: bool,
    /// It has had its final answer, or nobody waits for one.
    finished: bool,
}

/// Drives the module.
#[derive(Debug)]
pub struct Driver {
    gate: Gate,
    reqs: HashMap<RequestId, Sent>,
    actions: Vec<Action>,
    max_attempts: u32,
}

impl Driver {
    /// A driver of a fresh module behind what the operator wants before it; `known` is the list that it starts from.
    pub fn start(
        set: Settings,
        operator: &Operator,
        seed: u64,
        known: Vec<ServerEntry>,
        effects: &mut impl Effects,
    ) -> Self {
        let max_attempts = set.max_attempts;
        let gate = Gate::new(effects.now(), set, seed, operator);
        let mut driver = Driver { gate, reqs: HashMap::new(), actions: Vec::new(), max_attempts };
        driver.tell(Event::Start, effects);
        driver.on_network_event(NetworkEvent::Listed { full: true, cached: true, entries: known }, effects);
        driver
    }

    /// Puts new settings in force; what the module has learned stays.
    pub fn take_settings(&mut self, now: Micros, set: Settings, operator: &Operator) {
        self.max_attempts = set.max_attempts;
        self.gate.take_settings(now, set, operator);
    }

    /// The module and what stands before it.
    pub fn gate(&mut self) -> &mut Gate {
        &mut self.gate
    }

    /// Tells the module all that has happened, and what comes of its wishes, until nothing is left.
    pub fn settle(&mut self, effects: &mut impl Effects) {
        while let Some(network_event) = effects.next() {
            self.on_network_event(network_event, effects);
        }
    }

    /// Reqs that the module has not let go of.
    pub fn open_reqs(&self) -> usize {
        self.reqs.len()
    }

    fn request(req: &ReceivedRequest) -> Request {
        Request {
            id: req.id,
            class: req.class,
            tenant: req.tenant,
            key: req.key,
            deadline: seconds_from_micros(req.deadline),
            load: req.load,
            group: req.group,
            is_mid_flow: false,
            is_returning: req.returning,
        }
    }

    fn on_network_event(&mut self, network_event: NetworkEvent, effects: &mut impl Effects) {
        let event = match network_event {
            NetworkEvent::Listed { full, cached, entries } => {
                Event::EndpointList { is_complete: full, is_cached: cached, entries: entries.into() }
            }
            NetworkEvent::DiscoveryFailed => Event::DiscoveryFailed,
            NetworkEvent::RequestReceived(req) => {
                self.reqs.insert(req.id, Sent::default());
                Event::RequestReceived(Driver::request(&req))
            }
            NetworkEvent::Carried(req, server) => {
                let sent = Sent { attempts: 1, out: Some(server), stands: true, finished: false };
                self.reqs.insert(req.id, sent);
                Event::ConnectionRestored(Driver::request(&req), server)
            }
            NetworkEvent::AttemptTaken(request) => {
                let Some(sent) = self.reqs.get_mut(&request).filter(|s| s.out.is_some()) else { return };
                sent.stands = true;
                Event::Established { request, attempt: sent.attempts - 1 }
            }
            NetworkEvent::Load(request, load) => {
                if !self.reqs.get(&request).is_some_and(|s| s.stands) {
                    return;
                }
                Event::LoadChanged { request, load }
            }
            NetworkEvent::Delay(server, delay) => {
                Event::MessageDelay { server, delay: seconds_from_micros(delay) }
            }
            NetworkEvent::AttemptEnded(request, outcome) => {
                let Some(sent) = self.reqs.get_mut(&request) else { return };
                let Some(server) = sent.out.take() else { return };
                // As on the simulator's wire: a request is complete once served, once it has stood, or if
                // it was answered before; else the module still owes the final answer.
                sent.finished |= sent.stands || outcome == Outcome::Ok;
                let (attempt, complete) = (sent.attempts - 1, sent.finished);
                Event::AttemptEnded {
                    request,
                    server,
                    attempt,
                    outcome,
                    is_answered: complete,
                    load_ratio: None,
                }
            }
            NetworkEvent::ClientLeft(request) => {
                let Some(sent) = self.reqs.get_mut(&request) else { return };
                if std::mem::replace(&mut sent.finished, true) {
                    return;
                }
                Event::ClientLeft(request)
            }
            NetworkEvent::TimerFired(token) => Event::TimerFired(token),
            NetworkEvent::Elsewhere(away) => Event::RemoteLoadsUpdated(away),
            NetworkEvent::Probed(server, outcome) => Event::ProbeEnded { server, outcome, load_ratio: None },
        };
        let concerned = match &event {
            Event::AttemptEnded { request, .. } => Some(*request),
            Event::ClientLeft(request) => Some(*request),
            _ => None,
        };
        self.tell(event, effects);
        if let Some(request) = concerned {
            self.forget_if_over(request);
        }
    }

    fn tell(&mut self, event: Event, effects: &mut impl Effects) {
        self.gate.handle(seconds_from_micros(effects.now()), event, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        actions.drain(..).for_each(|action| self.carry_out(action, effects));
        self.actions = actions;
    }

    fn forget_if_over(&mut self, request: RequestId) {
        if self.reqs.get(&request).is_some_and(|s| s.finished && s.out.is_none()) {
            self.reqs.remove(&request);
        }
    }

    /// Marks the final answer; false if there was one before.
    fn finish(&mut self, request: RequestId) -> bool {
        let first = self.reqs.get_mut(&request).is_some_and(|s| !std::mem::replace(&mut s.finished, true));
        self.forget_if_over(request);
        first
    }

    fn carry_out(&mut self, action: Action, effects: &mut impl Effects) {
        match action {
            Action::BeginAttempt { request, server, timeout } => {
                let most = self.max_attempts;
                let may = |s: &&mut Sent| !s.finished && s.out.is_none() && s.attempts < most;
                // One fetch at a time: a second one for the same req would be a second copy.
                let Some(sent) = self.reqs.get_mut(&request).filter(may) else { return };
                sent.attempts += 1;
                sent.out = Some(server);
                effects.begin_attempt(request, server, micros_from_seconds(timeout));
            }
            Action::Reject { request, retry_after } => {
                if self.finish(request) {
                    effects.refuse(request, micros_from_seconds(retry_after));
                }
            }
            Action::Fail(request) => {
                if self.finish(request) {
                    effects.fail(request);
                }
            }
            Action::CancelAttempt { request, attempt } => {
                let out = |s: &Sent| s.out.is_some() && !s.stands && s.attempts == attempt + 1;
                if self.reqs.get(&request).is_some_and(out) {
                    effects.cancel_attempt(request);
                }
            }
            Action::Migrate(request) => {
                if self.reqs.get(&request).is_some_and(|s| s.stands) {
                    effects.move_away(request);
                }
            }
            Action::SetTimer { after, token } => effects.wake(micros_from_seconds(after), token),
            Action::Probe(server) => effects.probe(server),
            Action::Subscribe => effects.watch(),
            Action::Log(line) => effects.log(&line),
        }
    }
}
