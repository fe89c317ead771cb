//! Writes records on a thread of its own: a loop hands it portions and never waits for the disk.

use std::io;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::thread::{Builder, JoinHandle};

use serde::Serialize;

use crate::folder::{Folder, Writing};
use crate::record::{Head, Line};

#[derive(Debug)]
enum Job<T> {
    Begin(Box<Head>),
    Lines(Vec<Line<T>>),
    End,
}

/// The thread. Dropped, it ends what was handed to it and is waited for.
#[derive(Debug)]
pub struct Writer<T: Serialize + Send + 'static> {
    jobs: Option<Sender<Job<T>>>,
    done: Receiver<io::Result<u64>>,
    /// A record is begun, and what became of it has not been told.
    busy: bool,
    thread: Option<JoinHandle<()>>,
}

impl<T: Serialize + Send + 'static> Writer<T> {
    /// Starts it.
    ///
    /// # Errors
    /// Where there can be no thread.
    pub fn start(folder: Folder) -> io::Result<Self> {
        let (jobs, work) = channel();
        let (tell, done) = channel();
        let run = move || {
            let mut writing = Ok(None);
            while let Ok(job) = work.recv() {
                if let Some(told) = step(&folder, &mut writing, job)
                    && tell.send(told).is_err()
                {
                    return;
                }
            }
        };
        let thread = Some(Builder::new().name("snapshot".into()).spawn(run)?);
        Ok(Writer { jobs: Some(jobs), done, busy: false, thread })
    }

    fn tell(&self, job: Job<T>) {
        // A thread that is gone tells of it by its silence.
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(job);
        }
    }

    /// Begins a record; only where [`Writer::is_idle`], so that no more than one record is held in memory.
    pub fn begin(&mut self, head: Head) {
        self.busy = true;
        self.tell(Job::Begin(Box::new(head)));
    }

    /// Hands it a portion.
    pub fn lines(&self, lines: Vec<Line<T>>) {
        self.tell(Job::Lines(lines));
    }

    /// That was all of the record.
    pub fn end(&self) {
        self.tell(Job::End);
    }

    /// Whether a record can be begun.
    pub fn is_idle(&self) -> bool {
        !self.busy
    }

    /// What became of the record that was begun last, once that is known, which is told once: how many lines it holds.
    pub fn told(&mut self) -> Option<io::Result<u64>> {
        match self.done.try_recv() {
            Ok(told) => {
                self.busy = false;
                Some(told)
            }
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Disconnected) => {
                let first = std::mem::replace(&mut self.busy, false);
                first.then(|| Err(io::Error::other("the thread that writes is gone")))
            }
        }
    }
}

/// Carries out a job; tells what became of a record that is over.
fn step<T: Serialize>(
    folder: &Folder,
    writing: &mut io::Result<Option<Writing>>,
    job: Job<T>,
) -> Option<io::Result<u64>> {
    match job {
        Job::Begin(head) => *writing = folder.begin(&head).map(Some),
        Job::Lines(lines) => {
            if let Ok(Some(record)) = writing
                && let Err(e) = lines.iter().try_for_each(|line| record.line(line))
            {
                *writing = Err(e);
            }
        }
        Job::End => {
            let over = std::mem::replace(writing, Ok(None));
            return Some(over.and_then(|record| record.map_or(Ok(0), |record| folder.end(record))));
        }
    }
    None
}

impl<T: Serialize + Send + 'static> Drop for Writer<T> {
    fn drop(&mut self) {
        self.jobs = None;
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}
