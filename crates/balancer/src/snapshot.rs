//! Snapshots of the learned state of a worker, in a folder that outlives the process. The state is exported
//! in portions, one per iteration, written by a thread that the event loop does not wait for, and restored at
//! the next start. Snapshots are taken only if the operator's file names a folder.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use shorewharf_decisions::ServerId;
use shorewharf_driver::{AdmissionGate, Driver};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};
use shorewharf_snapshot::folder::SnapshotFolder;
use shorewharf_snapshot::record::{Header, Line, VERSION};
use shorewharf_snapshot::selection::{RejectedSnapshot, SelectedSnapshot, select};
use shorewharf_snapshot::validation::{RestoreCriteria, newer_list};
use shorewharf_snapshot::writer::SnapshotWriter;
use shorewharf_units::{MICROS_PER_MILLISECOND, Micros, micros_from_seconds, seconds_from_micros};
use tracing::{debug, info, warn};

use crate::config::Config;
use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;

/// Number of endpoints exported in one iteration.
const ENDPOINTS_PER_ITERATION: usize = 64;
/// Number of entries of learned state exported in one iteration.
const ENTRIES_PER_ITERATION: usize = 512;
/// Time between two portions, in which the event loop does its other work.
const PORTION_INTERVAL: Micros = 1_000;

/// The worker of a process that a snapshot belongs to.
#[derive(Clone, Copy, Debug)]
pub struct WorkerId {
    /// The worker's index.
    pub index: usize,
    /// The number of workers of the process.
    pub count: usize,
}

/// Learned state to be restored in the decisions of a worker.
#[derive(Debug, Default)]
pub struct SnapshotState {
    /// The entries of the learned state.
    pub entries: Vec<SnapshotEntry>,
    /// When the entries were exported, in microseconds of Unix time.
    pub exported_at: Micros,
    /// Whether the connections among the entries have ended with the process that exported them, so that
    /// their clients are expected to reconnect.
    pub are_connections_lost: bool,
    /// The source of the state, for the log: a file or a process.
    pub source: String,
}

impl SnapshotState {
    /// Restores the state, and logs how many entries were restored and how many were rejected.
    pub fn restore(self, now: Micros, gate: &mut AdmissionGate) {
        let age = now.saturating_sub(self.exported_at);
        let (now, age_s) = (seconds_from_micros(now), seconds_from_micros(age));
        let counts = gate.restore_state(now, age_s, self.are_connections_lost, self.entries);
        info!(
            event = "state-restored",
            from = self.source,
            ms = age / MICROS_PER_MILLISECOND,
            taken = counts.restored,
            outdated = counts.outdated,
            faded = counts.expired,
            odd = counts.invalid
        );
    }
}

/// The state that was found at the start.
#[derive(Debug)]
pub struct RestoredSnapshot {
    /// The learned state.
    pub state: SnapshotState,
    /// The endpoint list: that of the snapshot or that of the configuration, whichever is newer; or the one
    /// that another process has handed over.
    pub endpoints: EndpointList,
}

/// Returns all learned state at once.
pub fn export_all(gate: &AdmissionGate) -> Vec<SnapshotEntry> {
    let mut entries = Vec::new();
    let mut cursor = ExportCursor::default();
    while cursor != ExportCursor::End {
        cursor = gate.export_state(cursor, ENTRIES_PER_ITERATION, &mut entries);
    }
    entries
}

fn unix_time() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// The snapshots of one worker at its start.
#[derive(Debug, Default)]
pub struct WorkerSnapshots {
    /// Takes snapshots; `None` if no folder is configured or the folder can't be used.
    pub task: Option<SnapshotTask>,
    /// The state to restore; `None` if there is no valid snapshot.
    pub restored: Option<RestoredSnapshot>,
}

impl WorkerSnapshots {
    /// Opens the configured folder, and reads the latest valid snapshot. Logs a folder that can't be used.
    pub fn open(config: &Config, worker: WorkerId) -> Self {
        let settings = &config.operator.snapshot;
        let Some(path) = &settings.directory else { return Self::default() };
        let opened = SnapshotFolder::open(path, worker.index, settings.generations).and_then(|folder| {
            let restored = read_latest(&folder, config, worker)?;
            Ok((SnapshotWriter::start(folder)?, restored))
        });
        match opened {
            Ok((writer, restored)) => {
                let task = SnapshotTask::new(writer, config, worker);
                WorkerSnapshots { task: Some(task), restored }
            }
            Err(e) => {
                warn!(event = "snapshots-unavailable", folder = %path.display(), error = %e);
                Self::default()
            }
        }
    }
}

/// Reads the latest valid snapshot, and logs newer ones that are invalid.
fn read_latest(
    folder: &SnapshotFolder,
    config: &Config,
    worker: WorkerId,
) -> io::Result<Option<RestoredSnapshot>> {
    let list = &config.initial_endpoints;
    let criteria = RestoreCriteria {
        balancer: &config.name,
        worker: worker.index,
        worker_count: worker.count,
        now: unix_time(),
        max_age: micros_from_seconds(config.operator.snapshot.max_age_s),
        list,
    };
    let selection = select(folder, &criteria)?;
    for RejectedSnapshot { path, cause } in &selection.rejected {
        warn!(event = "snapshot-rejected", file = %path.display(), why = %cause);
    }
    let Some(SelectedSnapshot { path, record, .. }) = selection.selected else { return Ok(None) };
    if record.unknown_lines > 0 {
        warn!(event = "snapshot-unknown-lines", file = %path.display(), lines = record.unknown_lines);
    }
    let endpoints = newer_list(list, &record.list).clone();
    let state = SnapshotState {
        entries: record.entries,
        exported_at: record.header.taken_at,
        are_connections_lost: true,
        source: path.display().to_string(),
    };
    Ok(Some(RestoredSnapshot { state, endpoints }))
}

/// The progress of the export of a snapshot.
#[derive(Debug)]
enum ExportProgress {
    /// Endpoints up to this server have been exported; none of them at `None`.
    Endpoints(Option<ServerId>),
    /// All endpoints have been exported, and the learned state up to this cursor.
    State(ExportCursor),
}

/// Takes the snapshots of one worker.
#[derive(Debug)]
pub struct SnapshotTask {
    writer: SnapshotWriter<SnapshotEntry>,
    interval: Micros,
    balancer: String,
    worker: WorkerId,
    /// The progress of the snapshot that is being exported; `None` between snapshots.
    progress: Option<ExportProgress>,
    /// When the export of the current or last snapshot began.
    started_at: Micros,
    /// Whether the last snapshot could not be written. The failure has been logged.
    has_failed: bool,
}

impl SnapshotTask {
    fn new(writer: SnapshotWriter<SnapshotEntry>, config: &Config, worker: WorkerId) -> Self {
        SnapshotTask {
            writer,
            interval: micros_from_seconds(config.operator.snapshot.interval_s),
            balancer: config.name.clone(),
            worker,
            progress: None,
            started_at: 0,
            has_failed: false,
        }
    }

    /// Exports a portion if the timer has fired in this iteration, and sets the timer for the next one.
    pub fn on_iteration(&mut self, event_loop: &mut EventLoop, driver: &mut Driver) {
        if !std::mem::take(&mut event_loop.is_snapshot_due) {
            return;
        }
        let now = event_loop.context.now;
        self.log_result(now);
        self.advance(event_loop, driver.gate());
        let delay = if self.progress.is_some() { PORTION_INTERVAL } else { self.time_to_next(now) };
        event_loop.context.schedule_after(delay, TimerEvent::Snapshot);
    }

    /// Returns the time until the next snapshot begins. If writing the last one took longer than the
    /// interval, the next one is skipped.
    fn time_to_next(&self, now: Micros) -> Micros {
        match (self.started_at + self.interval).saturating_sub(now) {
            0 => self.interval,
            remaining => remaining,
        }
    }

    /// Logs whether the last snapshot was written. Of consecutive failures, only the first is logged.
    fn log_result(&mut self, now: Micros) {
        match self.writer.take_result() {
            Some(Ok(lines)) => {
                self.has_failed = false;
                let ms = (now - self.started_at) / MICROS_PER_MILLISECOND;
                debug!(event = "snapshot-written", lines, ms);
            }
            Some(Err(e)) if !std::mem::replace(&mut self.has_failed, true) => {
                warn!(event = "snapshot-not-written", error = %e);
            }
            Some(Err(_)) | None => {}
        }
    }

    /// Exports a portion. Begins a new snapshot if none is being exported and the last one has been written.
    fn advance(&mut self, event_loop: &EventLoop, gate: &AdmissionGate) {
        if self.progress.is_none() && self.writer.is_idle() {
            self.started_at = event_loop.context.now;
            self.writer.begin(Header {
                version: VERSION,
                balancer: self.balancer.clone(),
                worker: self.worker.index,
                worker_count: self.worker.count,
                taken_at: unix_time(),
                list_index: event_loop.discovery.index(),
            });
            self.progress = Some(ExportProgress::Endpoints(None));
        }
        match self.progress.take() {
            Some(ExportProgress::Endpoints(last)) => self.export_endpoints(last, event_loop),
            Some(ExportProgress::State(cursor)) => self.export_state(cursor, gate),
            None => {}
        }
    }

    fn export_endpoints(&mut self, last: Option<ServerId>, event_loop: &EventLoop) {
        let names = &event_loop.proxy.settings.names;
        let page = event_loop.proxy.servers.endpoint_page(names, last, ENDPOINTS_PER_ITERATION);
        self.writer.write(page.endpoints.into_iter().map(Line::Endpoint).collect());
        self.progress = Some(match page.next_after {
            Some(last) => ExportProgress::Endpoints(Some(last)),
            None => ExportProgress::State(ExportCursor::default()),
        });
    }

    fn export_state(&mut self, cursor: ExportCursor, gate: &AdmissionGate) {
        let mut entries = Vec::new();
        let cursor = gate.export_state(cursor, ENTRIES_PER_ITERATION, &mut entries);
        self.writer.write(entries.into_iter().map(Line::State).collect());
        if cursor == ExportCursor::End {
            self.writer.finish();
        } else {
            self.progress = Some(ExportProgress::State(cursor));
        }
    }

    /// Exports the rest of the current snapshot after the event loop has ended. If none is being exported and
    /// the last one has been written, exports a complete new one.
    pub fn finish(mut self, event_loop: &EventLoop, driver: &mut Driver) {
        loop {
            self.advance(event_loop, driver.gate());
            if self.progress.is_none() {
                return;
            }
        }
    }
}
