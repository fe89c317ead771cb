//! This balancer's allocations of the fleet's budgets. A separate thread communicates with the store, so that the event loop
//! never waits for it. Both share the allocations, and the event loop checks each request against them.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use shorewharf_budgets::{
    Allocations, BudgetSettings, Member, NoResponse, Precondition, StoreRequest, StoreResponse, StoredRecord,
    WriteBatch,
};
use shorewharf_driver::Budgets;
use shorewharf_store::error::{InvalidValue, StoreError};
use shorewharf_store::key::{Collection, Key};
use shorewharf_store::replicated::{Options, Replicated};
use shorewharf_store::revision::Revision;
use shorewharf_store::store::{Batch, Condition, Entry, Query, Store};
use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};
use thiserror::Error;
use tracing::{info, warn};

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::fleet::budget_config::{BudgetConfig, BudgetConfigError, SETUP_BUDGET};

/// The interval at which allocations are logged.
const LOG_INTERVAL: Micros = 10_000_000;
/// The maximum time for which a terminating process waits until its allocations have been returned to the store.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// The store is reopened after it has not answered for this number of leases.
const LEASES_UNTIL_REOPEN: u64 = 2;
/// The minimum time for which the thread waits for a command before it checks again whether a request to the store is due.
const MIN_WAIT: Micros = 1_000;
/// The maximum time of that wait.
const MAX_WAIT: Micros = 1_000_000;

/// The reason why the client of the store can't be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The configuration of the store is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The system can't start a thread.
    #[error(transparent)]
    Thread(#[from] io::Error),
}

fn unix_time() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

fn lock(allocations: &Mutex<Allocations>) -> MutexGuard<'_, Allocations> {
    allocations.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The parameters for opening the store.
struct StoreAddress {
    /// The URLs of the store's members.
    members: Vec<String>,
    /// The prefix of all keys.
    prefix: String,
    /// This balancer's name.
    balancer: String,
}

impl StoreAddress {
    /// Opens the store with a client name that is different each time. Otherwise the store could not distinguish this client
    /// from an earlier process of the same balancer.
    fn open(&self, now: Micros) -> Result<Replicated, InvalidValue> {
        let client = format!("{}-{now}", self.balancer);
        Replicated::new(&Options::new(self.members.clone(), &self.prefix, &client, now))
    }
}

/// A command from the event loop to the thread.
enum Command {
    /// Apply the totals of these settings.
    UpdateSettings(BudgetSettings),
    /// Return all allocations to the fleet and end.
    Leave,
}

/// The event loop's handle to the thread.
#[derive(Debug)]
pub struct BudgetClient {
    allocations: Arc<Mutex<Allocations>>,
    commands: Sender<Command>,
    /// The channel is closed once the thread has ended.
    ended: Receiver<()>,
}

impl BudgetClient {
    /// Starts the thread; returns `None` if no budgets are configured.
    ///
    /// # Errors
    /// Returns an error if the store's address or prefix is invalid, or the system can't start a thread.
    pub fn start(config: &Config, clock: Clock) -> Result<Option<BudgetClient>, StartError> {
        let Some(budgets) = &config.budgets else { return Ok(None) };
        let (now, unix_now) = (clock.read(), unix_time());
        let address = StoreAddress {
            members: budgets.store.clone(),
            prefix: budgets.prefix.clone(),
            balancer: config.name.clone(),
        };
        let store = address
            .open(unix_now)
            .map_err(|error| ConfigError::from(BudgetConfigError::InvalidStore(error)))?;
        let allocations = Arc::new(Mutex::new(Allocations::new(now, &budgets.settings)));
        let (commands, command_inbox) = channel();
        let worker = StoreWorker {
            member: Member::new(now, budgets.settings.clone(), &config.name, unix_now),
            allocations: Arc::clone(&allocations),
            address,
            store,
            commands: command_inbox,
            clock,
            is_reachable: None,
            last_reached: now,
            last_logged: now,
        };
        let (end_signal, ended) = channel::<()>();
        let run = move || {
            let _end_signal = end_signal;
            worker.run();
        };
        thread::Builder::new().name("budgets".to_owned()).spawn(run)?;
        Ok(Some(BudgetClient { allocations, commands, ended }))
    }

    /// The admission check of requests against the allocations; `None` if no budgets are configured.
    pub fn admission(&self, config: &Config) -> Option<Budgets> {
        let budgets = config.budgets.as_ref()?;
        let allocations = lock(&self.allocations);
        let setup_budget = allocations.index_of(SETUP_BUDGET);
        let tenant_budgets = budgets.tenant_budgets.iter();
        let tenant_budgets = tenant_budgets.map(|name| allocations.index_of(name.as_deref()?)).collect();
        drop(allocations);
        Some(Budgets::new(Arc::clone(&self.allocations), setup_budget, tenant_budgets, &config.settings))
    }

    /// Applies the totals of a reloaded configuration. Other changes take effect only after a restart.
    pub fn update_totals(&self, config: &BudgetConfig) {
        // Sending fails only after the thread has ended, and then the process is about to end.
        let _ = self.commands.send(Command::UpdateSettings(config.settings.clone()));
    }

    /// Returns this balancer's allocations to the fleet, and waits for that up to `LEAVE_TIMEOUT`.
    pub fn leave(self) {
        let _ = self.commands.send(Command::Leave);
        // No message is ever sent on this channel. It is closed when the thread ends.
        let _ = self.ended.recv_timeout(LEAVE_TIMEOUT);
    }
}

/// The state of the thread that communicates with the store.
struct StoreWorker {
    member: Member,
    allocations: Arc<Mutex<Allocations>>,
    address: StoreAddress,
    store: Replicated,
    commands: Receiver<Command>,
    clock: Clock,
    /// Whether the store has answered the last request; `None` before the first request.
    is_reachable: Option<bool>,
    /// When the store last answered or was opened.
    last_reached: Micros,
    last_logged: Micros,
}

impl StoreWorker {
    fn run(mut self) {
        while !self.member.has_ended() {
            let request = self.member.next_request(self.clock.read(), &mut lock(&self.allocations));
            if let Some(request) = request {
                self.process_request(request);
            } else if !self.wait_for_command() {
                return;
            }
        }
        if self.member.is_superseded() {
            warn!(
                event = "budgets",
                state = "superseded",
                why = "another process has taken over the name of this balancer; this process admits no more requests"
            );
        }
    }

    /// Waits for a command, or until the next request is due. Returns false if the event loop has ended.
    fn wait_for_command(&mut self) -> bool {
        let due_in = self.member.next_deadline().saturating_sub(self.clock.read());
        match self.commands.recv_timeout(Duration::from_micros(due_in.clamp(MIN_WAIT, MAX_WAIT))) {
            Ok(command) => self.on_command(command),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return false,
        }
        true
    }

    fn process_request(&mut self, request: StoreRequest) {
        let previous_term = self.leader_term();
        let response = self.execute(request);
        let now = self.clock.read();
        self.update_reachability(now, response.is_ok());
        self.member.on_response(now, response, &mut lock(&self.allocations));
        self.log_leadership(previous_term);
        if now >= self.last_logged + LOG_INTERVAL {
            self.last_logged = now;
            self.log_allocations(now);
        }
    }

    fn leader_term(&self) -> Option<u64> {
        self.member.leader().map(|leader| leader.term)
    }

    fn on_command(&mut self, command: Command) {
        let now = self.clock.read();
        let mut allocations = lock(&self.allocations);
        match command {
            Command::UpdateSettings(next) => {
                // Only the totals change. The set of budgets and the way they are divided change only with a restart.
                let mut settings = self.member.settings().clone();
                for budget in &mut settings.budgets {
                    if let Some(updated) = next.budgets.iter().find(|next| next.name == budget.name) {
                        budget.total = updated.total;
                    }
                }
                allocations.update_settings(now, &settings);
                self.member.update_settings(settings);
            }
            Command::Leave => self.member.leave(now, &mut allocations),
        }
    }

    fn update_reachability(&mut self, now: Micros, is_reachable: bool) {
        if is_reachable {
            self.last_reached = now;
        } else if now >= self.last_reached + LEASES_UNTIL_REOPEN * self.member.settings().lease {
            // A client of the store only accepts the cluster that it was first connected to. After this time a replaced
            // cluster may be used as well, since all earlier allocations have expired.
            self.last_reached = now;
            let Ok(store) = self.address.open(unix_time()) else { return };
            self.store = store;
        }
        if self.is_reachable.replace(is_reachable) == Some(is_reachable) {
            return;
        }
        if is_reachable {
            info!(event = "budgets", state = "store-reachable");
        } else {
            warn!(
                event = "budgets",
                state = "store-unreachable",
                why = "allocations expire with their lease; after that only the reserve can be used"
            );
        }
    }

    fn log_leadership(&self, previous_term: Option<u64>) {
        let term = self.leader_term();
        if term == previous_term {
            return;
        }
        match term {
            Some(term) => info!(event = "budgets", state = "leader", term),
            None => info!(event = "budgets", state = "no-longer-leader"),
        }
    }

    fn log_allocations(&self, now: Micros) {
        let allocations = lock(&self.allocations);
        let left_ms = allocations.granted_until().saturating_sub(now) / MICROS_PER_MILLISECOND;
        for (index, budget) in allocations.names().enumerate() {
            let part = format!("{:.2}", allocations.in_force(now, index));
            let (used, refused) = (allocations.in_use(index), allocations.rejected(index));
            info!(event = "budget", budget, part, "left-ms" = left_ms, used, refused);
        }
        drop(allocations);
        let settings = self.member.settings();
        for (budget, possible_use) in self.member.possible_use() {
            let members = self.member.leader().map_or(0, |leader| leader.alive_members(now, settings));
            info!(event = "budget-divided", budget, "may-be-in-use" = possible_use, members);
        }
        let stats = self.member.stats();
        info!(
            event = "budgets-store",
            calls = stats.requests,
            writes = stats.writes,
            bytes = stats.bytes_written,
            failed = stats.unanswered,
            old = stats.outdated_grants
        );
    }

    /// Executes a request. An error that leaves open whether the request was executed counts as no response.
    fn execute(&mut self, request: StoreRequest) -> Result<StoreResponse, NoResponse> {
        let result = match request {
            StoreRequest::Read(names) => self.read(names),
            StoreRequest::List(prefix) => self.list(&prefix),
            StoreRequest::Write(batch) => self.write(batch),
        };
        match result {
            Ok(response) => Ok(response),
            Err(
                StoreError::Conflict { .. } | StoreError::AlreadyExists { .. } | StoreError::NotFound { .. },
            ) => Ok(StoreResponse::Conflict),
            Err(_) => Err(NoResponse),
        }
    }

    fn read(&mut self, names: Vec<String>) -> Result<StoreResponse, StoreError> {
        let keys: Vec<Key> = names.into_iter().map(budget_key).collect();
        let entries = self.store.get_many(&keys, unix_time())?;
        Ok(StoreResponse::Read(entries.into_iter().map(|entry| entry.map(stored_record)).collect()))
    }

    fn list(&mut self, prefix: &str) -> Result<StoreResponse, StoreError> {
        let now = unix_time();
        let (mut records, mut after) = (Vec::new(), None);
        loop {
            let query = Query::all(Collection::Budget).prefix(prefix).after(after);
            let page = self.store.list(&query, now)?;
            after = page.entries.last().map(|entry| entry.key.name.clone());
            records
                .extend(page.entries.into_iter().map(|entry| (entry.key.name.clone(), stored_record(entry))));
            if !page.more {
                return Ok(StoreResponse::Listed(records));
            }
        }
    }

    fn write(&mut self, batch: WriteBatch) -> Result<StoreResponse, StoreError> {
        let condition = |precondition| match precondition {
            Precondition::Absent(name) => Condition::Absent(budget_key(name)),
            Precondition::Unchanged(name, revision) => {
                Condition::AtRevision(budget_key(name), Revision(revision))
            }
        };
        let conditions = batch.preconditions.into_iter().map(condition).collect();
        let writes = batch.writes.into_iter().map(|(name, text)| (budget_key(name), text)).collect();
        let revision = self.store.apply(&Batch { conditions, writes }, unix_time())?;
        Ok(StoreResponse::Written(revision.0))
    }
}

fn budget_key(name: String) -> Key {
    Key::new(Collection::Budget, name)
}

fn stored_record(entry: Entry) -> StoredRecord {
    StoredRecord { revision: entry.revision.0, text: entry.value }
}
