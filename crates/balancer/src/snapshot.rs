//! What a worker knows, kept in a folder over the program's end: read out in portions between turns, written by a thread
//! that nobody waits for, and recalled at the next start. Off unless the operator's file names a folder.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use shorewharf_decisions::ServerId;
use shorewharf_driver::{AdmissionGate, Driver};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};
use shorewharf_settings::operator::Snapshot;
use shorewharf_snapshot::folder::SnapshotFolder;
use shorewharf_snapshot::record::{Header, Line, VERSION};
use shorewharf_snapshot::selection::{RejectedSnapshot, SelectedSnapshot, select};
use shorewharf_snapshot::validation::{RestoreCriteria, newer_list};
use shorewharf_snapshot::writer::SnapshotWriter;
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};
use tracing::{debug, info, warn};

use crate::config::Config;
use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;

/// Read out in one turn: servers with their names, and things known; each takes well under 0.2 ms.
const SERVERS: usize = 64;
const THINGS: usize = 512;
/// Between two portions: others have their turn.
const STEP: Micros = 1_000;

/// What one before has known, and how long ago that was.
#[derive(Debug, Default)]
pub struct SnapshotState {
    /// All of it.
    pub learned: Vec<SnapshotEntry>,
    /// When it was read out, on this program's clock.
    pub taken: Micros,
    /// The connections of the one before are gone, and their clients expected back.
    pub away: bool,
    /// Where it is from.
    pub from: String,
}

impl SnapshotState {
    /// Has the module recall it, and says what became of it.
    pub fn recall(self, now: Micros, gate: &mut AdmissionGate) {
        let age = now.saturating_sub(self.taken);
        let recalled =
            gate.restore_state(seconds_from_micros(now), seconds_from_micros(age), self.away, self.learned);
        let (taken, outdated) = (recalled.restored, recalled.outdated);
        let (faded, odd) = (recalled.expired, recalled.invalid);
        info!(event = "recalled", from = self.from, ms = age / 1000, taken, outdated, faded, odd);
    }
}

/// How far a reading has come.
#[derive(Debug)]
enum At {
    Servers(Option<ServerId>),
    Known(ExportCursor),
}

/// The folder of one worker.
#[derive(Debug)]
pub struct SnapshotTask {
    writer: SnapshotWriter<SnapshotEntry>,
    every: Micros,
    balancer: String,
    worker: usize,
    workers: usize,
    at: Option<At>,
    began: Micros,
    /// The last record could not be written: that is told once until one can.
    fails: bool,
}

/// All that is known, at once.
pub fn everything(gate: &AdmissionGate) -> Vec<SnapshotEntry> {
    let (mut learned, mut at) = (Vec::new(), ExportCursor::default());
    while at != ExportCursor::End {
        at = gate.export_state(at, THINGS, &mut learned);
    }
    learned
}

/// What is found in the folder by a worker that starts: what keeps it, what is recalled, and the list if it is later
/// than the configuration's. None where nothing is kept, or the folder can't be used, which is told.
pub fn open(
    config: &Config,
    (worker, workers): (usize, usize),
) -> Option<(SnapshotTask, Option<(SnapshotState, EndpointList)>)> {
    let set = &config.operator.snapshot;
    let path = set.directory.as_ref()?;
    let opened = SnapshotFolder::open(path, worker, set.generations).and_then(|folder| {
        let found = find(&folder, config, set, (worker, workers))?;
        Ok((SnapshotWriter::start(folder)?, found))
    });
    let (writer, found) =
        opened.inspect_err(|e| warn!(event = "no-snapshots", folder = %path.display(), error = %e)).ok()?;
    let balancer = config.name.clone();
    let (at, began, fails) = (None, 0, false);
    let every = micros_from_seconds(set.interval_s);
    Some((SnapshotTask { writer, every, balancer, worker, workers, at, began, fails }, found))
}

/// Unix time in microseconds.
fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn find(
    folder: &SnapshotFolder,
    config: &Config,
    set: &Snapshot,
    (worker, workers): (usize, usize),
) -> io::Result<Option<(SnapshotState, EndpointList)>> {
    let (balancer, now, max_age, list) =
        (&*config.name, unix(), micros_from_seconds(set.max_age_s), &config.initial_endpoints);
    let criteria = RestoreCriteria { balancer, worker, worker_count: workers, now, max_age, list };
    let selection = select(folder, &criteria)?;
    for RejectedSnapshot { path, cause } in &selection.rejected {
        warn!(event = "snapshot-left-aside", file = %path.display(), why = %cause);
    }
    Ok(selection.selected.map(|SelectedSnapshot { path, record, .. }| {
        if record.unknown_lines > 0 {
            warn!(event = "snapshot-unknown", file = %path.display(), lines = record.unknown_lines);
        }
        let from = path.display().to_string();
        let memory =
            SnapshotState { learned: record.entries, taken: record.header.taken_at, away: true, from };
        (memory, newer_list(list, &record.list).clone())
    }))
}

impl SnapshotTask {
    /// A record is begun, or read on; the next turn for it is set.
    pub fn on_iteration(&mut self, event_loop: &mut EventLoop, driver: &mut Driver) {
        if !std::mem::take(&mut event_loop.is_snapshot_due) {
            return;
        }
        let now = event_loop.context.now;
        match self.writer.take_result() {
            Some(Ok(lines)) => {
                self.fails = false;
                debug!(event = "snapshot-written", lines, ms = (now - self.began) / 1000);
            }
            // Once until it works again: it is tried every few seconds.
            Some(Err(e)) if !std::mem::replace(&mut self.fails, true) => {
                warn!(event = "snapshot-not-written", error = %e);
            }
            Some(Err(_)) | None => {}
        }
        self.goes_on(event_loop, driver.gate());
        let next = match self.at {
            Some(_) => STEP,
            // A disk that takes longer than that is not asked for more.
            None => {
                Some((self.began + self.every).saturating_sub(now)).filter(|n| *n > 0).unwrap_or(self.every)
            }
        };
        event_loop.context.schedule_after(next, TimerEvent::Snapshot);
    }

    /// Reads a portion, of a new record where none is being read and the one before is on the disk.
    fn goes_on(&mut self, event_loop: &EventLoop, gate: &AdmissionGate) {
        if self.at.is_none() && self.writer.is_idle() {
            self.began = event_loop.context.now;
            let (balancer, worker, workers) = (self.balancer.clone(), self.worker, self.workers);
            let (taken_at, list_index) = (unix(), event_loop.discovery.index());
            self.writer.begin(Header {
                version: VERSION,
                balancer,
                worker,
                worker_count: workers,
                taken_at,
                list_index,
            });
            self.at = Some(At::Servers(None));
        }
        if let Some(at) = self.at.take() {
            self.reads(at, event_loop, gate);
        }
    }

    /// The program has ended: what it knew last is read out whole, and written before the thread is let go.
    pub fn ends(mut self, event_loop: &EventLoop, driver: &mut Driver) {
        loop {
            self.goes_on(event_loop, driver.gate());
            if self.at.is_none() {
                return;
            }
        }
    }

    fn reads(&mut self, at: At, event_loop: &EventLoop, gate: &AdmissionGate) {
        let mut lines = Vec::new();
        self.at = match at {
            At::Servers(behind) => {
                let terms = &event_loop.proxy.settings;
                let page = event_loop.proxy.servers.endpoint_page(&terms.names, behind, SERVERS);
                lines.extend(page.endpoints.into_iter().map(Line::Endpoint));
                Some(match page.next_after {
                    Some(last) => At::Servers(Some(last)),
                    None => At::Known(ExportCursor::default()),
                })
            }
            At::Known(cursor) => {
                let mut learned = Vec::new();
                let cursor = gate.export_state(cursor, THINGS, &mut learned);
                lines.extend(learned.into_iter().map(Line::State));
                (cursor != ExportCursor::End).then_some(At::Known(cursor))
            }
        };
        self.writer.write(lines);
        if self.at.is_none() {
            self.writer.finish();
        }
    }
}
