//! Causes the faults of a plan, each on a thread of its own, so that they overlap.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::discovery::Discovery;
use crate::error::SoakError;
use crate::fleet::Fleet;
use crate::ledger::{Pause, Process, Span};
use crate::plan::{Behaviour, Fault, Plan};
use crate::recorder::Recorder;
use crate::server::Server;

/// What faults act on.
#[derive(Clone)]
pub struct Targets {
    /// The balancers.
    pub fleet: Arc<Fleet>,
    /// The servers.
    pub servers: Vec<Arc<Server>>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// Where the processes' history is recorded.
    pub recorder: Arc<Recorder>,
}

/// What processes did wrong under faults, filled while the run lasts.
pub type ProcessFaults = Arc<Mutex<Vec<String>>>;

/// Schedules the faults of a plan from `begun` on.
pub fn schedule(plan: &Plan, begun: Duration, targets: &Targets) -> ProcessFaults {
    let found = ProcessFaults::default();
    for scheduled in plan.faults.clone() {
        let (targets, found) = (targets.clone(), Arc::clone(&found));
        std::thread::spawn(move || {
            std::thread::sleep((begun + scheduled.at).saturating_sub(targets.recorder.now()));
            match targets.cause(scheduled.fault) {
                Ok(None) => {}
                Ok(Some(fault)) => found.lock().expect("no panic").push(fault),
                Err(_) if targets.recorder.is_over() => {}
                Err(e) => found.lock().expect("no panic").push(e.to_string()),
            }
        });
    }
    found
}

impl Targets {
    /// Causes a fault and waits for its end. Returns what a process did wrong.
    fn cause(&self, fault: Fault) -> Result<Option<String>, SoakError> {
        match fault {
            Fault::Terminate { balancer, twice } => {
                let exited = || self.recorder.record_process(balancer, Process::exited);
                return self.fleet.terminate(balancer, twice, exited);
            }
            Fault::Kill { balancer } => {
                let killed = || self.recorder.record_process(balancer, Process::killed);
                self.fleet.kill(balancer, killed)?;
            }
            Fault::Pause { balancer, length } => {
                let record = |process: &mut Process, at| process.pauses.push(Pause { at, length });
                self.recorder.record_process(balancer, record);
                self.fleet.pause(balancer, length);
            }
            Fault::Reload { balancer, all_idempotent } => self.reload(balancer, all_idempotent)?,
            Fault::Server { server, behaviour, length } => {
                self.servers[server].set_behaviour(behaviour);
                std::thread::sleep(length);
                self.servers[server].set_behaviour(Behaviour::Normal);
            }
            Fault::Drain { server, length } => self.drain(server, length),
        }
        Ok(None)
    }

    fn reload(&self, balancer: usize, all_idempotent: bool) -> Result<(), SoakError> {
        self.fleet.reload(balancer, all_idempotent, || {
            if all_idempotent {
                let record = |process: &mut Process, from| {
                    process.all_idempotent.push(Span { from, to: None });
                };
                self.recorder.record_process(balancer, record);
            }
        })
    }

    /// Lists a server as draining for a while, unless it is already.
    fn drain(&self, server: usize, length: Duration) {
        if self.servers[server].is_draining() {
            return;
        }
        self.servers[server].set_draining(Some(self.recorder.now()));
        self.discovery.set_status(server, "Terminating");
        std::thread::sleep(length);
        self.servers[server].set_draining(None);
        self.discovery.set_status(server, "Ready");
    }
}
