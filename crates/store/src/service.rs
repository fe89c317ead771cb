//! The store on a thread of its own, so that an event loop never waits for a disk or a network.
//!
//! The loop hands over jobs, and polls for their results and for changes. The queue is bounded: when it is full the
//! loop gets an error at once and can reject its caller. Changes that wait together are written together.

use crate::backup::{CopySummary, backup, restore};
use crate::cached_store::CachedStore;
use crate::change_batch::ChangeBatch;
use crate::check::check;
use crate::commands::{self, ChangeRequest, Completed, Lookup, LookupResult};
use crate::error::{InvalidValue, StoreError};
use crate::exchange::{self, ImportError};
use crate::files::{create_options, io_error, publish_with};
use crate::record::Actor;
use crate::store::{Store, StoreHealth};
use shorewharf_units::Micros;
use std::fs;
use std::io::{self, BufWriter};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How the thread works.
#[derive(Clone, Debug)]
pub struct Options {
    /// Jobs that may wait, or be done but not polled.
    pub queue_capacity: usize,
    /// The most jobs that are taken from the queue at once, whose changes are written together.
    pub max_group: usize,
    /// How often the engine is polled for other instances' changes.
    pub refresh_interval: Duration,
    /// Where the copy of what instances need is kept; not needed with an engine in a local file.
    pub copy_file: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            queue_capacity: 256,
            max_group: 64,
            refresh_interval: Duration::from_millis(200),
            copy_file: None,
        }
    }
}

/// Identifies a job in its result.
pub type Ticket = u64;

/// Work on the whole store. Other jobs wait until it is done.
#[derive(Clone, Debug)]
pub enum MaintenanceTask {
    /// Copies the store into a file.
    Backup(PathBuf),
    /// Replaces all records by those of a backup.
    Restore {
        /// The backup.
        from: PathBuf,
        /// Who restores it.
        actor: Actor,
    },
    /// Writes the store as JSON into a file.
    Export(PathBuf),
    /// Replaces all records by those of an export.
    Import {
        /// The export.
        from: PathBuf,
        /// Who imports it.
        actor: Actor,
    },
    /// Verifies all records.
    Check,
}

/// The result of a maintenance task.
#[derive(Debug)]
pub enum TaskResult {
    /// The records were backed up, restored, exported or imported.
    Copied(CopySummary),
    /// The faults that the check found.
    Checked(Vec<InvalidValue>),
    /// The document was not imported because of these faults.
    InvalidDocument(Vec<InvalidValue>),
}

/// What the thread reports to the loop.
#[derive(Debug)]
pub enum Notification {
    /// A change was made or failed.
    Changed(Ticket, Result<Completed, StoreError>),
    /// A lookup has its result.
    LookedUp(Ticket, Result<LookupResult, StoreError>),
    /// A maintenance task has ended.
    TaskFinished(Ticket, Result<TaskResult, StoreError>),
    /// Changes of records by any instance, for [`crate::directory::Directory::apply`].
    RecordsChanged(ChangeBatch),
    /// The engine became unavailable, or available again.
    HealthChanged(StoreHealth),
}

enum Job {
    Change(Ticket, Box<ChangeRequest>),
    LookUp(Ticket, Lookup),
    Run(Ticket, MaintenanceTask),
}

/// Wakes the loop; called from the store's thread.
pub type Waker = Box<dyn Fn() + Send>;

/// Reads the time in microseconds since 1970; called from the store's thread.
pub type Clock = Box<dyn Fn() -> Micros + Send>;

/// Notifications that the loop has not polled yet.
#[derive(Default)]
struct Outbox {
    results: Vec<Notification>,
    /// Batches that were not polled are merged, so that they can't outgrow the records.
    changes: Option<ChangeBatch>,
    health: Option<StoreHealth>,
}

fn lock(outbox: &Mutex<Outbox>) -> MutexGuard<'_, Outbox> {
    // A panic can't leave the outbox inconsistent: nothing that panics runs under the lock.
    outbox.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The loop's handle of the store's thread.
pub struct StoreThread {
    jobs: Option<SyncSender<Job>>,
    outbox: Arc<Mutex<Outbox>>,
    thread: Option<JoinHandle<()>>,
    next_ticket: Ticket,
    /// Jobs whose results were not polled.
    pending: usize,
    capacity: usize,
}

impl StoreThread {
    /// Starts the thread. `waker` is called whenever there is something new to poll.
    ///
    /// # Errors
    /// If the system gives no thread.
    pub fn start(
        store: Box<dyn Store>,
        options: Options,
        clock: Clock,
        waker: Waker,
    ) -> Result<StoreThread, StoreError> {
        let capacity = options.queue_capacity.max(1);
        let (jobs, queue) = sync_channel(capacity);
        let outbox = Arc::new(Mutex::new(Outbox::default()));
        let mut worker = Worker {
            store: CachedStore::new(store, options.copy_file.clone()),
            queue,
            outbox: outbox.clone(),
            options,
            clock,
            waker,
            next_refresh: Instant::now(),
            fault: None,
        };
        let thread = std::thread::Builder::new().name("store".into()).spawn(move || worker.run());
        let thread = thread.map_err(|e| StoreError::Io { location: "store".into(), cause: e.to_string() })?;
        Ok(StoreThread {
            jobs: Some(jobs),
            outbox,
            thread: Some(thread),
            next_ticket: 0,
            pending: 0,
            capacity,
        })
    }

    /// Hands over a change.
    ///
    /// # Errors
    /// [`StoreError::QueueFull`], or [`StoreError::Closed`] if the thread has ended.
    pub fn change(&mut self, request: ChangeRequest) -> Result<Ticket, StoreError> {
        self.enqueue(|ticket| Job::Change(ticket, Box::new(request)))
    }

    /// Hands over a lookup.
    ///
    /// # Errors
    /// [`StoreError::QueueFull`], or [`StoreError::Closed`] if the thread has ended.
    pub fn look_up(&mut self, lookup: Lookup) -> Result<Ticket, StoreError> {
        self.enqueue(|ticket| Job::LookUp(ticket, lookup))
    }

    /// Hands over a maintenance task.
    ///
    /// # Errors
    /// [`StoreError::QueueFull`], or [`StoreError::Closed`] if the thread has ended.
    pub fn run(&mut self, task: MaintenanceTask) -> Result<Ticket, StoreError> {
        self.enqueue(|ticket| Job::Run(ticket, task))
    }

    fn enqueue(&mut self, job: impl FnOnce(Ticket) -> Job) -> Result<Ticket, StoreError> {
        if self.pending >= self.capacity {
            return Err(StoreError::QueueFull { pending: self.pending });
        }
        let Some(jobs) = &self.jobs else { return Err(StoreError::Closed) };
        let ticket = self.next_ticket;
        jobs.try_send(job(ticket)).map_err(|e| match e {
            TrySendError::Full(_) => StoreError::QueueFull { pending: self.pending },
            TrySendError::Disconnected(_) => StoreError::Closed,
        })?;
        self.next_ticket += 1;
        self.pending += 1;
        Ok(ticket)
    }

    /// All notifications since the last poll; never waits for the store.
    pub fn poll(&mut self) -> Vec<Notification> {
        let Outbox { results, changes, health } = std::mem::take(&mut *lock(&self.outbox));
        self.pending -= results.len().min(self.pending);
        let mut notifications = results;
        notifications.extend(changes.map(Notification::RecordsChanged));
        notifications.extend(health.map(Notification::HealthChanged));
        notifications
    }

    /// Jobs that are not done, or whose results were not polled.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Ends the thread after all jobs are done, and returns its last notifications.
    pub fn close(mut self) -> Vec<Notification> {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // What a panicked thread reported before is still in the outbox.
            let _ = thread.join();
        }
        self.poll()
    }
}

/// What runs on the thread.
struct Worker {
    store: CachedStore,
    queue: Receiver<Job>,
    outbox: Arc<Mutex<Outbox>>,
    options: Options,
    clock: Clock,
    waker: Waker,
    next_refresh: Instant,
    /// Why the last refresh failed.
    fault: Option<String>,
}

impl Worker {
    fn run(&mut self) {
        loop {
            let wait = self.next_refresh.saturating_duration_since(Instant::now());
            match self.queue.recv_timeout(wait) {
                Ok(job) => self.run_group(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= self.next_refresh {
                self.refresh();
                self.next_refresh = Instant::now() + self.options.refresh_interval;
            }
        }
    }

    /// Does a job and those that wait behind it.
    fn run_group(&mut self, first: Job) {
        let mut jobs = vec![first];
        jobs.extend(self.queue.try_iter().take(self.options.max_group.saturating_sub(1)));
        let may_write = jobs.iter().any(|job| !matches!(job, Job::LookUp(..)));
        self.run_jobs(jobs);
        if may_write {
            self.next_refresh = Instant::now();
        }
    }

    fn run_jobs(&mut self, jobs: Vec<Job>) {
        let now = (self.clock)();
        let mut changes: Vec<(Ticket, ChangeRequest)> = Vec::new();
        for job in jobs {
            match job {
                Job::Change(ticket, request) => changes.push((ticket, *request)),
                Job::LookUp(ticket, lookup) => {
                    self.execute(&mut changes, now);
                    let result = commands::look_up(&mut self.store, &lookup, now);
                    self.notify([Notification::LookedUp(ticket, result)]);
                }
                Job::Run(ticket, task) => {
                    self.execute(&mut changes, now);
                    let result = run_task(&mut self.store, &task, now);
                    self.notify([Notification::TaskFinished(ticket, result)]);
                }
            }
        }
        self.execute(&mut changes, now);
    }

    /// Makes the collected changes.
    fn execute(&mut self, changes: &mut Vec<(Ticket, ChangeRequest)>, now: Micros) {
        if changes.is_empty() {
            return;
        }
        let (tickets, requests): (Vec<_>, Vec<_>) = std::mem::take(changes).into_iter().unzip();
        let results = commands::execute(&mut self.store, &requests, now);
        let notifications = tickets.into_iter().zip(results);
        self.notify(notifications.map(|(ticket, result)| Notification::Changed(ticket, result)));
    }

    fn refresh(&mut self) {
        let refreshed = self.store.refresh((self.clock)());
        let fault = refreshed.as_ref().err().map(ToString::to_string);
        let mut outbox = lock(&self.outbox);
        if fault.is_some() != self.fault.is_some() {
            let health = self.store.health();
            let fault = fault.clone().or(health.fault.clone());
            outbox.health = Some(StoreHealth { fault, ..health });
        }
        self.fault = fault;
        let has_news = refreshed.is_ok() || outbox.health.is_some();
        if let Ok(batch) = refreshed {
            outbox.changes = Some(match outbox.changes.take() {
                Some(earlier) => earlier.merge(batch),
                None => batch,
            });
        }
        drop(outbox);
        if has_news {
            (self.waker)();
        }
    }

    fn notify(&self, notifications: impl IntoIterator<Item = Notification>) {
        lock(&self.outbox).results.extend(notifications);
        (self.waker)();
    }
}

fn run_task(store: &mut dyn Store, task: &MaintenanceTask, now: Micros) -> Result<TaskResult, StoreError> {
    match task {
        MaintenanceTask::Backup(to) => backup(store, to, now).map(TaskResult::Copied),
        MaintenanceTask::Restore { from, actor } => restore(store, from, actor, now).map(TaskResult::Copied),
        MaintenanceTask::Check => check(store, now).map(TaskResult::Checked),
        MaintenanceTask::Export(to) => export(store, to, now).map(TaskResult::Copied),
        MaintenanceTask::Import { from, actor } => import(store, from, actor, now),
    }
}

fn import(store: &mut dyn Store, from: &Path, actor: &Actor, now: Micros) -> Result<TaskResult, StoreError> {
    let document = fs::read_to_string(from).map_err(|e| file_error(from, &e))?;
    match exchange::import(store, &document, actor, now) {
        Ok(summary) => Ok(TaskResult::Copied(summary)),
        Err(ImportError::Store(e)) => Err(e),
        Err(ImportError::Invalid(faults)) => Ok(TaskResult::InvalidDocument(faults)),
        Err(e @ ImportError::Json(_)) => {
            Ok(TaskResult::InvalidDocument(vec![InvalidValue::new("", e.to_string())]))
        }
    }
}

/// Writes an export, completely or not at all.
fn export(store: &mut dyn Store, to: &Path, now: Micros) -> Result<CopySummary, StoreError> {
    publish_with(to, |temporary| {
        let file = create_options().open(temporary).map_err(|e| file_error(temporary, &e))?;
        exchange::export(store, &mut BufWriter::new(file), now)
    })
}

fn file_error(path: &Path, e: &io::Error) -> StoreError {
    io_error(&path.display().to_string(), e)
}
