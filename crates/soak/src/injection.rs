//! Injects the faults of a plan, each on its own thread, so that they overlap.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::discovery::Discovery;
use crate::error::SoakError;
use crate::fleet::Fleet;
use crate::ledger::{Interval, Pause, ProcessHistory};
use crate::plan::{Behaviour, Fault, Plan};
use crate::recorder::Recorder;
use crate::server::Server;

/// What faults are injected into.
#[derive(Clone)]
pub struct Targets {
    /// The balancers.
    pub fleet: Arc<Fleet>,
    /// The servers.
    pub servers: Vec<Arc<Server>>,
    /// Discovery.
    pub discovery: Arc<Discovery>,
    /// Records the processes' history.
    pub recorder: Arc<Recorder>,
}

/// Messages about processes that failed while faults were injected. The threads of the faults add to them during the run.
pub type ProcessFailures = Arc<Mutex<Vec<String>>>;

/// Schedules the faults of a plan, whose times count from `start`, a time since the start of the recorder.
pub fn schedule(plan: &Plan, start: Duration, targets: &Targets) -> ProcessFailures {
    let failures = ProcessFailures::default();
    for scheduled in plan.faults.clone() {
        let (targets, failures) = (targets.clone(), Arc::clone(&failures));
        std::thread::spawn(move || {
            std::thread::sleep((start + scheduled.at).saturating_sub(targets.recorder.now()));
            match targets.inject(scheduled.fault) {
                Ok(None) => {}
                Ok(Some(failure)) => failures.lock().expect("no panic").push(failure),
                Err(_) if targets.recorder.is_over() => {}
                Err(e) => failures.lock().expect("no panic").push(e.to_string()),
            }
        });
    }
    failures
}

impl Targets {
    /// Injects a fault and waits for its end. Returns a message if a process did not exit as it must.
    fn inject(&self, fault: Fault) -> Result<Option<String>, SoakError> {
        match fault {
            Fault::Terminate { balancer, twice } => {
                let on_exit = || self.recorder.record_process(balancer, ProcessHistory::record_exit);
                return self.fleet.terminate(balancer, twice, on_exit);
            }
            Fault::Kill { balancer } => {
                let before_kill = || self.recorder.record_process(balancer, ProcessHistory::record_kill);
                self.fleet.kill(balancer, before_kill)?;
            }
            Fault::Pause { balancer, length } => {
                let record = |history: &mut ProcessHistory, at| history.pauses.push(Pause { at, length });
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
                let record = |history: &mut ProcessHistory, from| {
                    history.all_idempotent.push(Interval { from, to: None });
                };
                self.recorder.record_process(balancer, record);
            }
        })
    }

    /// Lists a server as draining for `length`, unless it is draining already.
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
