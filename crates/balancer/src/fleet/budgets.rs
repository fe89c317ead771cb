//! This balancer's part of the fleet's budgets: a thread of its own that speaks to the store, so that the loop never waits for
//! it. What both share are the parts, which the loop holds each request against.

use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use shorewharf_budgets::{Call, Condition, Failed, Member, Parts, Record, Reply, Rules};
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
use crate::fleet::budget_config::{BudgetConfig, BudgetConfigError, SETUP_BUDGET};

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
    Rules(Rules),
    Leave,
}

/// The loop's end of it.
#[derive(Debug)]
pub struct Shares {
    parts: Arc<Mutex<Parts>>,
    orders: Sender<Order>,
    /// Closed when the thread has ended.
    ended: Receiver<()>,
}

fn lock(parts: &Mutex<Parts>) -> MutexGuard<'_, Parts> {
    parts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shares {
    /// Starts the thread, where the configuration names budgets.
    ///
    /// # Errors
    /// Where the store's address or prefix can't be used, or the system gives no thread.
    pub fn start(config: &Config, clock: Clock) -> Result<Option<Shares>, crate::workers::startup::Failure> {
        let Some(fleet) = &config.budgets else { return Ok(None) };
        let wall = wall();
        let address = (fleet.store.clone(), fleet.prefix.clone(), config.name.clone());
        let store =
            open(&address, wall).map_err(|e| ConfigError::from(BudgetConfigError::InvalidStore(e)))?;
        let now = clock.read();
        let parts = Arc::new(Mutex::new(Parts::new(now, &fleet.rules)));
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
        let fleet = config.budgets.as_ref()?;
        let parts = lock(&self.parts);
        let set_ups = parts.place(SETUP_BUDGET);
        let tenants = fleet.tenant_budgets.iter().map(|name| parts.place(name.as_deref()?)).collect();
        drop(parts);
        Some(Budgets::new(Arc::clone(&self.parts), set_ups, tenants, &config.settings))
    }

    /// Other wholes are in force; the rest stays.
    pub fn take(&self, fleet: &BudgetConfig) {
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
    parts: Arc<Mutex<Parts>>,
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
        while !self.member.is_over() {
            let now = self.clock.read();
            let call = self.member.next(now, &mut lock(&self.parts));
            let Some(call) = call else {
                let due = self.member.next_due().saturating_sub(self.clock.read());
                match self.orders.recv_timeout(Duration::from_micros(due.clamp(1_000, 1_000_000))) {
                    Ok(order) => self.ordered(order),
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => return,
                }
                continue;
            };
            let led = self.member.leads().map(|l| l.term);
            let answer = self.make(call);
            let now = self.clock.read();
            self.reached(now, answer.is_ok());
            self.member.answered(now, answer, &mut lock(&self.parts));
            self.tell(now, led);
        }
        if self.member.is_outlived() {
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
                let mut rules = self.member.rules().clone();
                for b in &mut rules.budgets {
                    if let Some(named) = next.budgets.iter().find(|n| n.name == b.name) {
                        b.whole = named.whole;
                    }
                }
                parts.take_rules(now, &rules);
                self.member.take_rules(rules);
            }
            Order::Leave => self.member.leave(now, &mut parts),
        }
    }

    fn reached(&mut self, now: Micros, is: bool) {
        if is {
            self.reached = now;
        } else if now >= self.reached + REOPENS * self.member.rules().lease {
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
        let leads = self.member.leads().map(|l| l.term);
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
        let left_ms = parts.until().saturating_sub(now) / 1_000;
        for (place, budget) in parts.names().enumerate() {
            let part = format_args!("{:.2}", parts.in_force(now, place)).to_string();
            let (used, refused) = (parts.used(place), parts.refused(place));
            info!(event = "budget", budget, part, "left-ms" = left_ms, used, refused);
        }
        drop(parts);
        for (budget, may) in self.member.may() {
            let members = self.member.leads().map_or(0, |l| l.alive(now, self.member.rules()));
            info!(event = "budget-divided", budget, "may-be-in-use" = may, members);
        }
        let f = self.member.figures();
        info!(
            event = "budgets-store",
            calls = f.calls,
            writes = f.writes,
            bytes = f.bytes,
            failed = f.failed,
            old = f.old
        );
    }

    /// Makes a call; an answer that says nothing counts as none.
    fn make(&mut self, call: Call) -> Result<Reply, Failed> {
        let wall = wall();
        let key = |name: String| Key::new(Collection::Budget, name);
        let record = |e: Entry| Record { revision: e.revision.0, text: e.value };
        let done = match call {
            Call::Read(names) => {
                let keys: Vec<Key> = names.into_iter().map(key).collect();
                let found = self.store.get_many(&keys, wall);
                found.map(|found| Reply::Read(found.into_iter().map(|e| e.map(record)).collect()))
            }
            Call::List(prefix) => self.list(&prefix, wall),
            Call::Write { conditions, writes } => {
                let holds = |c: Condition| match c {
                    Condition::Absent(name) => Holds::Absent(key(name)),
                    Condition::At(name, at) => Holds::AtRevision(key(name), Revision(at)),
                };
                let conditions = conditions.into_iter().map(holds).collect();
                let writes = writes.into_iter().map(|(name, text)| (key(name), text)).collect();
                self.store.apply(&Batch { conditions, writes }, wall).map(|at| Reply::Written(at.0))
            }
        };
        match done {
            Ok(reply) => Ok(reply),
            Err(
                StoreError::Conflict { .. } | StoreError::AlreadyExists { .. } | StoreError::NotFound { .. },
            ) => Ok(Reply::Conflict),
            Err(_) => Err(Failed),
        }
    }

    fn list(&mut self, prefix: &str, wall: u64) -> Result<Reply, StoreError> {
        let (mut all, mut after) = (Vec::new(), None);
        loop {
            let page = self.store.list(&Query::all(Collection::Budget).prefix(prefix).after(after), wall)?;
            after = page.entries.last().map(|e| e.key.name.clone());
            let record = |e: Entry| (e.key.name, Record { revision: e.revision.0, text: e.value });
            all.extend(page.entries.into_iter().map(record));
            if !page.more {
                return Ok(Reply::Listed(all));
            }
        }
    }
}
