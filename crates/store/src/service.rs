//! The store on a thread of its own, so that an event loop never waits for a disk or a network.
//!
//! The loop hands over calls and gets answers and news back when it looks. The queue has a limit: when it is
//! full the loop is told so at once and can answer its caller. Calls that wait together are written together.

use crate::backup::{Taken, backup, restore};
use crate::cached::Cached;
use crate::calls::{self, Done, Found, Question, Request};
use crate::check::check;
use crate::error::{Invalid, StoreError};
use crate::exchange::{self, ImportError};
use crate::key::Key;
use crate::known::News;
use crate::record::{Actor, Micros};
use crate::store::{Change, Health, Store};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::BufWriter;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How the thread works.
#[derive(Clone, Debug)]
pub struct Options {
    /// Calls that may wait or be answered but not yet looked at. At 200 calls a second and 5 ms each, 256 is a
    /// second's worth.
    pub queue: usize,
    /// Calls that are decided and written together at most.
    pub group: usize,
    /// How often the engine is asked what other instances changed.
    pub refresh: Duration,
    /// Where the copy of what instances need is kept; not needed with an engine in a local file.
    pub copy: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Options {
        Options { queue: 256, group: 64, refresh: Duration::from_millis(200), copy: None }
    }
}

/// By which an answer is known to be a call's.
pub type Ticket = u64;

/// Work on all of the store at once. Calls wait while it is done.
#[derive(Clone, Debug)]
pub enum Task {
    /// Copies the store into a file.
    Backup(PathBuf),
    /// Puts a backup's records in the place of all.
    Restore {
        /// The backup.
        from: PathBuf,
        /// Who wants it.
        who: Actor,
    },
    /// Writes the store as JSON into a file.
    Export(PathBuf),
    /// Puts an export's records in the place of all.
    Import {
        /// The export.
        from: PathBuf,
        /// Who wants it.
        who: Actor,
    },
    /// Checks everything.
    Check,
}

/// What came of a task.
#[derive(Debug)]
pub enum TaskDone {
    /// Copied, restored, exported or imported.
    Taken(Taken),
    /// The faults that the check found.
    Checked(Vec<Invalid>),
    /// What is wrong with a document that was to be imported.
    Faults(Vec<Invalid>),
}

/// What the thread tells.
#[derive(Debug)]
pub enum Told {
    /// A change was made or refused.
    Done(Ticket, Result<Done, StoreError>),
    /// A question was answered.
    Found(Ticket, Result<Found, StoreError>),
    /// A task ended.
    Tasked(Ticket, Result<TaskDone, StoreError>),
    /// What changed, whoever changed it; for [`crate::known::Known::take`].
    News(News),
    /// The engine has come into trouble, or out of it.
    Health(Health),
}

enum Order {
    Change(Ticket, Box<Request>),
    Ask(Ticket, Question),
    Task(Ticket, Task),
}

/// Wakes the loop; called from the store's thread.
pub type Wake = Box<dyn Fn() + Send>;

/// Reads the time in microseconds since 1970; called from the store's thread.
pub type Clock = Box<dyn Fn() -> Micros + Send>;

/// What waits for the loop to look.
#[derive(Default)]
struct Outbox {
    told: Vec<Told>,
    /// News that were not looked at are merged, so that they can't grow beyond the records that there are.
    news: Option<News>,
    health: Option<Health>,
}

fn lock(outbox: &Mutex<Outbox>) -> MutexGuard<'_, Outbox> {
    // Nothing is done under the lock that could leave half a message.
    outbox.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The loop's end of the store's thread.
pub struct Service {
    orders: Option<SyncSender<Order>>,
    outbox: Arc<Mutex<Outbox>>,
    thread: Option<JoinHandle<()>>,
    next: Ticket,
    waiting: usize,
    limit: usize,
}

impl Service {
    /// Starts the thread. `wake` is called whenever there is something new to look at.
    pub fn start(
        store: Box<dyn Store>,
        options: Options,
        clock: Clock,
        wake: Wake,
    ) -> Result<Service, StoreError> {
        let (orders, queue) = sync_channel(options.queue.max(1));
        let outbox = Arc::new(Mutex::new(Outbox::default()));
        let limit = options.queue.max(1);
        let cached = Cached::new(store, options.copy.clone());
        let mut worker = Worker {
            cached,
            queue,
            outbox: outbox.clone(),
            options,
            clock,
            wake,
            next: Instant::now(),
            trouble: None,
        };
        let thread = std::thread::Builder::new().name("store".into()).spawn(move || worker.run());
        let thread = thread.map_err(|e| StoreError::Io { what: "store".into(), cause: e.to_string() })?;
        Ok(Service { orders: Some(orders), outbox, thread: Some(thread), next: 0, waiting: 0, limit })
    }

    /// Hands over a change.
    pub fn change(&mut self, request: Request) -> Result<Ticket, StoreError> {
        self.order(|ticket| Order::Change(ticket, Box::new(request)))
    }

    /// Hands over a question.
    pub fn ask(&mut self, question: Question) -> Result<Ticket, StoreError> {
        self.order(|ticket| Order::Ask(ticket, question))
    }

    /// Hands over a task.
    pub fn task(&mut self, task: Task) -> Result<Ticket, StoreError> {
        self.order(|ticket| Order::Task(ticket, task))
    }

    fn order(&mut self, order: impl FnOnce(Ticket) -> Order) -> Result<Ticket, StoreError> {
        let ticket = self.next;
        if self.waiting >= self.limit {
            return Err(StoreError::Busy { waiting: self.waiting });
        }
        let Some(orders) = &self.orders else { return Err(StoreError::Closed) };
        orders.try_send(order(ticket)).map_err(|e| match e {
            TrySendError::Full(_) => StoreError::Busy { waiting: self.waiting },
            TrySendError::Disconnected(_) => StoreError::Closed,
        })?;
        self.next += 1;
        self.waiting += 1;
        Ok(ticket)
    }

    /// Everything that was told since the last look; never waits for the store.
    pub fn look(&mut self) -> Vec<Told> {
        let Outbox { told, news, health } = std::mem::take(&mut *lock(&self.outbox));
        self.waiting -= told.len().min(self.waiting);
        let news = news.map(Told::News).into_iter();
        told.into_iter().chain(news).chain(health.map(Told::Health)).collect()
    }

    /// Calls that are not answered, or whose answers were not looked at.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Ends the thread after what waits is done, and returns what it told last.
    pub fn close(mut self) -> Vec<Told> {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has told what it could.
            let _ = thread.join();
        }
        self.look()
    }
}

struct Worker {
    cached: Cached,
    queue: Receiver<Order>,
    outbox: Arc<Mutex<Outbox>>,
    options: Options,
    clock: Clock,
    wake: Wake,
    next: Instant,
    trouble: Option<String>,
}

impl Worker {
    fn run(&mut self) {
        loop {
            let wait = self.next.saturating_duration_since(Instant::now());
            match self.queue.recv_timeout(wait) {
                Ok(order) => {
                    let mut orders = vec![order];
                    orders.extend(self.queue.try_iter().take(self.options.group.saturating_sub(1)));
                    let wrote = orders.iter().any(|o| !matches!(o, Order::Ask(..)));
                    self.work(orders);
                    if wrote {
                        self.next = Instant::now();
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= self.next {
                self.refresh();
                self.next = Instant::now() + self.options.refresh;
            }
        }
    }

    fn work(&mut self, orders: Vec<Order>) {
        let now = (self.clock)();
        let mut changes: Vec<(Ticket, Request)> = Vec::new();
        for order in orders {
            match order {
                Order::Change(ticket, request) => changes.push((ticket, *request)),
                Order::Ask(ticket, question) => {
                    self.make(&mut changes, now);
                    let found = calls::answer(&mut self.cached, &question, now);
                    self.tell([Told::Found(ticket, found)]);
                }
                Order::Task(ticket, task) => {
                    self.make(&mut changes, now);
                    let done = perform(&mut self.cached, &task, now);
                    self.tell([Told::Tasked(ticket, done)]);
                }
            }
        }
        self.make(&mut changes, now);
    }

    fn make(&mut self, changes: &mut Vec<(Ticket, Request)>, now: Micros) {
        if changes.is_empty() {
            return;
        }
        let (tickets, requests): (Vec<_>, Vec<_>) = std::mem::take(changes).into_iter().unzip();
        let answers = calls::run(&mut self.cached, &requests, now);
        self.tell(tickets.into_iter().zip(answers).map(|(ticket, answer)| Told::Done(ticket, answer)));
    }

    fn refresh(&mut self) {
        let news = self.cached.refresh((self.clock)());
        let trouble = news.as_ref().err().map(ToString::to_string);
        let mut outbox = lock(&self.outbox);
        if trouble.is_some() != self.trouble.is_some() {
            let health = self.cached.health();
            outbox.health = Some(Health { trouble: trouble.clone().or(health.trouble.clone()), ..health });
        }
        self.trouble = trouble;
        let told = news.is_ok() || outbox.health.is_some();
        if let Ok(news) = news {
            outbox.news = Some(match outbox.news.take() {
                Some(before) => merge(before, news),
                None => news,
            });
        }
        drop(outbox);
        if told {
            (self.wake)();
        }
    }

    fn tell(&self, told: impl IntoIterator<Item = Told>) {
        lock(&self.outbox).told.extend(told);
        (self.wake)();
    }
}

/// News as if they had come at once.
fn merge(before: News, after: News) -> News {
    if after.whole {
        return after;
    }
    let key = |change: Change| (change.key.clone(), change);
    let mut changes: BTreeMap<Key, Change> = before.changes.into_iter().map(key).collect();
    for change in after.changes {
        match (&change.value, before.whole) {
            // Nothing removed is in a whole.
            (None, true) => drop(changes.remove(&change.key)),
            _ => drop(changes.insert(change.key.clone(), change)),
        }
    }
    News { whole: before.whole, changes: changes.into_values().collect(), ..after }
}

fn perform(store: &mut dyn Store, task: &Task, now: Micros) -> Result<TaskDone, StoreError> {
    match task {
        Task::Backup(to) => backup(store, to, now).map(TaskDone::Taken),
        Task::Restore { from, who } => restore(store, from, who, now).map(TaskDone::Taken),
        Task::Check => check(store, now).map(TaskDone::Checked),
        Task::Export(to) => export(store, to, now).map(TaskDone::Taken),
        Task::Import { from, who } => {
            let document = fs::read_to_string(from).map_err(|e| told(from, &e))?;
            match exchange::import(store, &document, who, now) {
                Ok(taken) => Ok(TaskDone::Taken(taken)),
                Err(ImportError::Store(e)) => Err(e),
                Err(ImportError::Faults(faults)) => Ok(TaskDone::Faults(faults)),
                Err(e @ ImportError::Json(_)) => Ok(TaskDone::Faults(vec![Invalid::new("", e.to_string())])),
            }
        }
    }
}

/// Writes under another name first, so that a document that broke off is not taken for a whole one.
fn export(store: &mut dyn Store, to: &Path, now: Micros) -> Result<Taken, StoreError> {
    let part = crate::embedded::beside(to, "part");
    let open = || -> std::io::Result<File> {
        OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&part)
    };
    let done = open().map_err(|e| told(&part, &e)).and_then(|file| {
        let taken = exchange::export(store, &mut BufWriter::new(file), now)?;
        crate::embedded::put_in_place(&part, to)?;
        Ok(taken)
    });
    if done.is_err() {
        let _ = fs::remove_file(&part);
    }
    done
}

fn told(path: &Path, e: &std::io::Error) -> StoreError {
    crate::embedded::io_error(&path.display().to_string(), e)
}
