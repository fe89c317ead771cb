//! Writes records on a separate thread: an event loop sends it batches of lines and never waits for the disk.

use std::io;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread::{Builder, JoinHandle};

use serde::Serialize;

use crate::folder::{PartialRecord, SnapshotFolder};
use crate::record::{Header, Line};

/// A command to the writing thread.
#[derive(Debug)]
enum Command<T> {
    Begin(Box<Header>),
    Write(Vec<Line<T>>),
    Finish,
}

/// The writing thread. Dropping it waits until all commands that were sent have been executed.
#[derive(Debug)]
pub struct SnapshotWriter<T: Serialize + Send + 'static> {
    commands: Option<Sender<Command<T>>>,
    results: Receiver<io::Result<u64>>,
    /// Whether a record was begun whose result has not been fetched.
    is_busy: bool,
    thread: Option<JoinHandle<()>>,
}

impl<T: Serialize + Send + 'static> SnapshotWriter<T> {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't create the thread.
    pub fn start(folder: SnapshotFolder) -> io::Result<Self> {
        let (commands, received) = channel();
        let (finished, results) = channel();
        let run = move || {
            let mut record = Ok(None);
            while let Ok(command) = received.recv() {
                if let Some(result) = execute(&folder, &mut record, command)
                    && finished.send(result).is_err()
                {
                    return;
                }
            }
        };
        let thread = Some(Builder::new().name("snapshot".into()).spawn(run)?);
        Ok(SnapshotWriter { commands: Some(commands), results, is_busy: false, thread })
    }

    fn send(&self, command: Command<T>) {
        // If the thread has ended, `take_result` reports it.
        if let Some(commands) = &self.commands {
            let _ = commands.send(command);
        }
    }

    /// Begins a record. Callers must check [`SnapshotWriter::is_idle`] first, so that no more than one record is in memory.
    pub fn begin(&mut self, header: Header) {
        self.is_busy = true;
        self.send(Command::Begin(Box::new(header)));
    }

    /// Appends lines to the record.
    pub fn write(&self, lines: Vec<Line<T>>) {
        self.send(Command::Write(lines));
    }

    /// Completes the record.
    pub fn finish(&self) {
        self.send(Command::Finish);
    }

    /// Whether no record is being written, so that one can be begun.
    pub fn is_idle(&self) -> bool {
        !self.is_busy
    }

    /// Returns the result of the last record once it is available, the number of its lines. Each result is returned once.
    pub fn take_result(&mut self) -> Option<io::Result<u64>> {
        match self.results.try_recv() {
            Ok(result) => {
                self.is_busy = false;
                Some(result)
            }
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => {
                let was_busy = std::mem::replace(&mut self.is_busy, false);
                was_busy.then(|| Err(io::Error::other("the snapshot writer thread has ended")))
            }
        }
    }
}

/// Executes a command; returns the result if it completed a record.
fn execute<T: Serialize>(
    folder: &SnapshotFolder,
    record: &mut io::Result<Option<PartialRecord>>,
    command: Command<T>,
) -> Option<io::Result<u64>> {
    match command {
        Command::Begin(header) => *record = folder.begin(&header).map(Some),
        Command::Write(lines) => {
            if let Ok(Some(partial)) = record
                && let Err(error) = lines.iter().try_for_each(|line| partial.write_line(line))
            {
                *record = Err(error);
            }
        }
        Command::Finish => return Some(finish(folder, std::mem::replace(record, Ok(None)))),
    }
    None
}

fn finish(folder: &SnapshotFolder, record: io::Result<Option<PartialRecord>>) -> io::Result<u64> {
    match record? {
        Some(partial) => folder.commit(partial),
        None => Ok(0),
    }
}

impl<T: Serialize + Send + 'static> Drop for SnapshotWriter<T> {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
