//! This balancer's part of the fleet's budgets: a thread of its own that speaks to the store, so that the loop never waits for
//! it. What both share are the parts, which the loop holds each request against.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use shorewharf_budgets::{
    Allocations, BudgetSettings, Member, NoResponse, Precondition, StoreRequest, StoreResponse, StoredRecord,
    WriteBatch,
};
use shorewharf_driver::Budgets;
use shorewharf_store::error::StoreError;
use shorewharf_store::key::{Collection, Key};
use shorewharf_store::replicated::{Options, Replicated};
use shorewharf_store::revision::Revision;
use shorewharf_store::store::{Batch, Condition as Holds, Entry, Query, Store};
use shorewharf_units::Micros;
use tracing::{info, warn};

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::fleet::budget_config::{Fleet, SET_UPS};

/// Parts go to the log this often.
const LOG: Micros = 10_000_000;
/// A process that ends waits so long at most until the store knows of it.
const LEAVES: Duration = Duration::from_millis(500);

/// A store that has not answered for so many leases is opened anew.
const REOPENS: u64 = 2;

/// The store's members, the prefix of all keys, and this balancer's name.
type Address = (Vec<String>, String, String);

fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Opens the store. Each time as an instance of its own: one that an earlier process used would be taken for it.
fn open(
    (store, prefix, name): &Address,
    wall: u64,
) -> Result<Replicated, shorewharf_store::error::InvalidValue> {
    Replicated::new(&Options::new(store.clone(), prefix, &format!("{name}-{wall}"), wall))
}

enum Order {
    Rules(BudgetSettings),
    Leave,
}

/// The loop's end of it.
#[derive(Debug)]
pub struct Shares {
    parts: Arc<Mutex<Allocations>>,
    orders: Sender<Order>,
    /// Closed when the thread has ended.
    ended: Receiver<()>,
}

fn lock(parts: &Mutex<Allocations>) -> MutexGuard<'_, Allocations> {
    parts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shares {
    /// Starts the thread, where the configuration names budgets.
    ///
    /// # Errors
    /// Where the store's address or prefix can't be used, or the system gives no thread.
    pub fn start(config: &Config, clock: Clock) -> Result<Option<Shares>, crate::workers::startup::Failure> {
        let Some(fleet) = &config.fleet else { return Ok(None) };
        let wall = wall();
        let address = (fleet.store.clone(), fleet.prefix.clone(), config.name.clone());
        let store =
            open(&address, wall).map_err(|e| ConfigError::Form("budgets.store".to_owned(), e.to_string()))?;
        let now = clock.read();
        let parts = Arc::new(Mutex::new(Allocations::new(now, &fleet.rules)));
        let (orders, orders_in) = channel();
        let member = Member::new(now, fleet.rules.clone(), &config.name, wall);
        let parts_too = Arc::clone(&parts);
        let desk = Desk {
            member,
            parts: parts_too,
            address,
            store,
            orders: orders_in,
            clock,
            reaches: None,
            reached: now,
            logged: now,
        };
        let (ends, ended) = channel();
        let work = move || {
            let _ends: Sender<()> = ends;
            desk.work();
        };
        thread::Builder::new().name("budgets".to_owned()).spawn(work)?;
        Ok(Some(Shares { parts, orders, ended }))
    }

    /// What requests are held against.
    pub fn admission(&self, config: &Config) -> Option<Budgets> {
        let fleet = config.fleet.as_ref()?;
        let parts = lock(&self.parts);
        let set_ups = parts.index_of(SET_UPS);
        let tenants = fleet.tenants.iter().map(|name| parts.index_of(name.as_deref()?)).collect();
        drop(parts);
        Some(Budgets::new(Arc::clone(&self.parts), set_ups, tenants, &config.settings))
    }

    /// Other wholes are in force; the rest stays.
    pub fn take(&self, fleet: &Fleet) {
        // The thread ends only with the process.
        let _ = self.orders.send(Order::Rules(fleet.rules.clone()));
    }

    /// Leaves in good order, if the store hears of it soon.
    pub fn leave(self) {
        let _ = self.orders.send(Order::Leave);
        // Nothing ever comes: the thread's end closes the way.
        let _ = self.ended.recv_timeout(LEAVES);
    }
}

/// The thread's end.
struct Desk {
    member: Member,
    parts: Arc<Mutex<Allocations>>,
    /// The store's members, prefix, and this balancer's name.
    address: Address,
    store: Replicated,
    orders: Receiver<Order>,
    clock: Clock,
    /// The store has answered the last call; none before the first.
    reaches: Option<bool>,
    /// When it answered last, or was opened.
    reached: Micros,
    logged: Micros,
}

impl Desk {
    fn work(mut self) {
        while !self.member.has_ended() {
            let now = self.clock.read();
            let call = self.member.next_request(now, &mut lock(&self.parts));
            let Some(call) = call else {
                let due = self.member.next_deadline().saturating_sub(self.clock.read());
                match self.orders.recv_timeout(Duration::from_micros(due.clamp(1_000, 1_000_000))) {
                    Ok(order) => self.ordered(order),
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                continue;
            };
            let led = self.member.leader().map(|l| l.term);
            let answer = self.make(call);
            let now = self.clock.read();
            self.reached(now, answer.is_ok());
            self.member.on_response(now, answer, &mut lock(&self.parts));
            self.tell(now, led);
        }
        if self.member.is_superseded() {
            warn!(
                event = "budgets",
                state = "outlived",
                why = "another process has this balancer's name; nothing is let in here"
            );
        }
    }

    fn ordered(&mut self, order: Order) {
        let now = self.clock.read();
        let mut parts = lock(&self.parts);
        match order {
            Order::Rules(next) => {
                // Which budgets there are, and by which terms they are shared, stays until a restart.
                let mut rules = self.member.settings().clone();
                for b in &mut rules.budgets {
                    if let Some(named) = next.budgets.iter().find(|n| n.name == b.name) {
                        b.total = named.total;
                    }
                }
                parts.update_settings(now, &rules);
                self.member.update_settings(rules);
            }
            Order::Leave => self.member.leave(now, &mut parts),
        }
    }

    fn reached(&mut self, now: Micros, is: bool) {
        if is {
            self.reached = now;
        } else if now >= self.reached + REOPENS * self.member.settings().lease {
            // A client of the store believes no other cluster than the one it has seen. Members do: whatever they find there, what
            // was in force before has ended.
            self.reached = now;
            let reopened = open(&self.address, wall());
            self.store = match reopened {
                Ok(store) => store,
                Err(_) => return,
            };
        }
        if self.reaches.replace(is) != Some(is) {
            match is {
                true => info!(event = "budgets", state = "store-reached"),
                false => warn!(
                    event = "budgets",
                    state = "store-lost",
                    why = "parts end with their lease, then the reserve is left"
                ),
            }
        }
    }

    fn tell(&mut self, now: Micros, led: Option<u64>) {
        let leads = self.member.leader().map(|l| l.term);
        if leads != led {
            match leads {
                Some(term) => info!(event = "budgets", state = "leads", term),
                None => info!(event = "budgets", state = "leads-no-more"),
            }
        }
        if now < self.logged + LOG {
            return;
        }
        self.logged = now;
        let parts = lock(&self.parts);
        let left_ms = parts.granted_until().saturating_sub(now) / 1_000;
        for (place, budget) in parts.names().enumerate() {
            let part = format_args!("{:.2}", parts.in_force(now, place)).to_string();
            let (used, refused) = (parts.in_use(place), parts.rejected(place));
            info!(event = "budget", budget, part, "left-ms" = left_ms, used, refused);
        }
        drop(parts);
        for (budget, may) in self.member.possible_use() {
            let members = self.member.leader().map_or(0, |l| l.alive_members(now, self.member.settings()));
            info!(event = "budget-divided", budget, "may-be-in-use" = may, members);
        }
        let f = self.member.stats();
        info!(
            event = "budgets-store",
            calls = f.requests,
            writes = f.writes,
            bytes = f.bytes_written,
            failed = f.unanswered,
            old = f.outdated_grants
        );
    }

    /// Makes a call; an answer that says nothing counts as none.
    fn make(&mut self, call: StoreRequest) -> Result<StoreResponse, NoResponse> {
        let wall = wall();
        let key = |name: String| Key::new(Collection::Budget, name);
        let record = |e: Entry| StoredRecord { revision: e.revision.0, text: e.value };
        let done = match call {
            StoreRequest::Read(names) => {
                let keys: Vec<Key> = names.into_iter().map(key).collect();
                let found = self.store.get_many(&keys, wall);
                found.map(|found| StoreResponse::Read(found.into_iter().map(|e| e.map(record)).collect()))
            }
            StoreRequest::List(prefix) => self.list(&prefix, wall),
            StoreRequest::Write(WriteBatch { preconditions, writes }) => {
                let holds = |precondition: Precondition| match precondition {
                    Precondition::Absent(name) => Holds::Absent(key(name)),
                    Precondition::Unchanged(name, at) => Holds::AtRevision(key(name), Revision(at)),
                };
                let conditions = preconditions.into_iter().map(holds).collect();
                let writes = writes.into_iter().map(|(name, text)| (key(name), text)).collect();
                self.store.apply(&Batch { conditions, writes }, wall).map(|at| StoreResponse::Written(at.0))
            }
        };
        match done {
            Ok(reply) => Ok(reply),
            Err(
                StoreError::Conflict { .. } | StoreError::AlreadyExists { .. } | StoreError::NotFound { .. },
            ) => Ok(StoreResponse::Conflict),
            Err(_) => Err(NoResponse),
        }
    }

    fn list(&mut self, prefix: &str, wall: u64) -> Result<StoreResponse, StoreError> {
        let (mut all, mut after) = (Vec::new(), None);
        loop {
            let page = self.store.list(&Query::all(Collection::Budget).prefix(prefix).after(after), wall)?;
            after = page.entries.last().map(|e| e.key.name.clone());
            let record = |e: Entry| (e.key.name, StoredRecord { revision: e.revision.0, text: e.value });
            all.extend(page.entries.into_iter().map(record));
            if !page.more {
                return Ok(StoreResponse::Listed(all));
            }
        }
    }
}
