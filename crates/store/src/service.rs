//! The store's thread: it owns the store, so that an event loop never waits for a disk or a network.
//!
//! The event loop submits jobs, and polls for their results and for changes of records. The queue of jobs is bounded:
//! if it is full, the event loop gets an error at once and can reject the request. Changes that are in the queue
//! together are written together.

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

/// Settings of the store's thread.
#[derive(Clone, Debug)]
pub struct Options {
    /// The maximum number of jobs that are in the queue, in progress, or done with a result that was not polled yet.
    pub queue_capacity: usize,
    /// The maximum number of jobs that are taken from the queue at once. Their changes are written together.
    pub max_group: usize,
    /// The interval at which the engine is polled for changes by other instances.
    pub refresh_interval: Duration,
    /// The file to which the copy of [`CachedStore`] is written; not needed for an engine in a local file.
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

/// The number of a job, which its result refers to.
pub type Ticket = u64;

/// A task that reads or replaces the whole store. Other jobs wait until it is done.
#[derive(Clone, Debug)]
pub enum MaintenanceTask {
    /// Backs up the store into this file.
    Backup(PathBuf),
    /// Replaces all records by those of a backup.
    Restore {
        /// The file of the backup.
        from: PathBuf,
        /// The actor for the audit trail.
        actor: Actor,
    },
    /// Exports the store as JSON into this file.
    Export(PathBuf),
    /// Replaces all records by those of an export.
    Import {
        /// The file of the export.
        from: PathBuf,
        /// The actor for the audit trail.
        actor: Actor,
    },
    /// Verifies the stored data and checks all records.
    Check,
}

/// The result of a maintenance task.
#[derive(Debug)]
pub enum TaskResult {
    /// The records were backed up, restored, exported or imported.
    Copied(CopySummary),
    /// The check was made and found these faults.
    Checked(Vec<InvalidValue>),
    /// The document was not imported because it has these faults.
    InvalidDocument(Vec<InvalidValue>),
}

/// A notification from the store's thread to the event loop.
#[derive(Debug)]
pub enum Notification {
    /// The result of a change.
    Changed(Ticket, Result<Completed, StoreError>),
    /// The result of a lookup.
    LookedUp(Ticket, Result<LookupResult, StoreError>),
    /// The result of a maintenance task.
    TaskFinished(Ticket, Result<TaskResult, StoreError>),
    /// Records were changed by any instance; for [`crate::directory::Directory::apply`].
    RecordsChanged(ChangeBatch),
    /// The engine became unavailable or available again.
    HealthChanged(StoreHealth),
}

enum Job {
    Change(Ticket, Box<ChangeRequest>),
    LookUp(Ticket, Lookup),
    Run(Ticket, MaintenanceTask),
}

/// A function that wakes the event loop; called from the store's thread.
pub type Waker = Box<dyn Fn() + Send>;

/// A function that returns the time in microseconds since 1970; called from the store's thread.
pub type Clock = Box<dyn Fn() -> Micros + Send>;

/// The notifications that the event loop has not polled yet.
#[derive(Default)]
struct Outbox {
    results: Vec<Notification>,
    /// The changes of all batches since the last poll, merged into one batch, which has each record at most once.
    changes: Option<ChangeBatch>,
    health: Option<StoreHealth>,
}

fn lock(outbox: &Mutex<Outbox>) -> MutexGuard<'_, Outbox> {
    // A poisoned lock can be ignored: nothing that could leave the outbox inconsistent runs while it is locked.
    outbox.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The event loop's handle to the store's thread.
pub struct StoreThread {
    jobs: Option<SyncSender<Job>>,
    outbox: Arc<Mutex<Outbox>>,
    thread: Option<JoinHandle<()>>,
    next_ticket: Ticket,
    /// The number of jobs whose results were not polled yet.
    pending: usize,
    capacity: usize,
}

impl StoreThread {
    /// Starts the thread. `waker` is called whenever there are new notifications to poll.
    ///
    /// # Errors
    /// If the operating system can't start a thread.
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

    /// Submits a change.
    ///
    /// # Errors
    /// [`StoreError::QueueFull`], or [`StoreError::Closed`] if the thread has ended.
    pub fn change(&mut self, request: ChangeRequest) -> Result<Ticket, StoreError> {
        self.enqueue(|ticket| Job::Change(ticket, Box::new(request)))
    }

    /// Submits a lookup.
    ///
    /// # Errors
    /// [`StoreError::QueueFull`], or [`StoreError::Closed`] if the thread has ended.
    pub fn look_up(&mut self, lookup: Lookup) -> Result<Ticket, StoreError> {
        self.enqueue(|ticket| Job::LookUp(ticket, lookup))
    }

    /// Submits a maintenance task.
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

    /// Returns all notifications since the last poll, without waiting for the store.
    pub fn poll(&mut self) -> Vec<Notification> {
        let Outbox { results, changes, health } = std::mem::take(&mut *lock(&self.outbox));
        self.pending -= results.len().min(self.pending);
        let mut notifications = results;
        notifications.extend(changes.map(Notification::RecordsChanged));
        notifications.extend(health.map(Notification::HealthChanged));
        notifications
    }

    /// The number of jobs that are not done, or whose results were not polled yet.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// Waits until all jobs are done, ends the thread, and returns the remaining notifications.
    pub fn close(mut self) -> Vec<Notification> {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // If the thread panicked, its earlier notifications are still in the outbox.
            let _ = thread.join();
        }
        self.poll()
    }
}

/// The state of the store's thread.
struct Worker {
    store: CachedStore,
    queue: Receiver<Job>,
    outbox: Arc<Mutex<Outbox>>,
    options: Options,
    clock: Clock,
    waker: Waker,
    next_refresh: Instant,
    /// The error of the last refresh; `None` if it succeeded.
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

    /// Runs a job together with the jobs that follow in the queue.
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

    /// Executes the collected changes, and clears them.
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
        let has_notifications = refreshed.is_ok() || outbox.health.is_some();
        if let Ok(batch) = refreshed {
            outbox.changes = Some(match outbox.changes.take() {
                Some(earlier) => earlier.merge(batch),
                None => batch,
            });
        }
        drop(outbox);
        if has_notifications {
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

/// Writes an export to a file, completely or not at all.
fn export(store: &mut dyn Store, to: &Path, now: Micros) -> Result<CopySummary, StoreError> {
    publish_with(to, |temporary| {
        let file = create_options().open(temporary).map_err(|e| file_error(temporary, &e))?;
        exchange::export(store, &mut BufWriter::new(file), now)
    })
}

fn file_error(path: &Path, e: &io::Error) -> StoreError {
    io_error(&path.display().to_string(), e)
}
