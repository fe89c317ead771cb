//! The store of a trial whose balancers share budgets: a stand-in with one member per balancer, the
//! operators' files that configure it, and the faults that the trial injects between the balancers and the
//! store.

use std::ffi::OsString;
use std::fs;

use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::BalancerId;
use shorewharf_emulator::sockets::directory::Directory;
use shorewharf_fault_scenarios::{FaultKind, StoreFault};
use shorewharf_store::standin::{Cluster, Fault, Member};
use shorewharf_units::Micros;
use tempfile::TempDir;

use crate::error::CommandError;

/// A stand-in store with the faults that are injected between it and the balancers.
pub struct SharedStore {
    cluster: Cluster,
    members: Vec<Member>,
    faults: Vec<(StoreFault, FaultStage)>,
    folder: TempDir,
}

/// Progress of a fault.
#[derive(Clone, Copy, PartialEq)]
enum FaultStage {
    Pending,
    Active,
    Over,
}

impl SharedStore {
    /// Starts the store and writes an operator's file for each balancer: the settings in `terms`, the
    /// endpoint of its own member of the store, and the file that lists all balancers' names.
    ///
    /// # Errors
    /// The store can't be started, a file can't be written, or `terms` is not valid TOML.
    pub fn start(
        day: &Day,
        terms: &toml::Table,
        faults: Vec<StoreFault>,
    ) -> Result<SharedStore, CommandError> {
        let external_error = |e: std::io::Error| {
            CommandError::External(format!("cannot start the stand-in store or write its files: {e}"))
        };
        let (cluster, folder) =
            (Cluster::new(), TempDir::with_prefix("shorewharf-store-").map_err(external_error)?);
        let n = day.balancers.len();
        let members =
            (0..n).map(|_| cluster.member()).collect::<Result<Vec<_>, _>>().map_err(external_error)?;
        let names: String = (0..n as u32).map(|i| Directory::balancer_name(BalancerId(i)) + "\n").collect();
        let list = folder.path().join("members");
        fs::write(&list, names).map_err(external_error)?;
        for (i, member) in members.iter().enumerate() {
            let mut budgets = terms.clone();
            budgets.insert("store".to_owned(), vec![member.endpoint()].into());
            budgets.insert("members".to_owned(), list.display().to_string().into());
            let file: toml::Table =
                [("budgets".to_owned(), toml::Value::Table(budgets))].into_iter().collect();
            let text = toml::to_string(&file)
                .map_err(|e| CommandError::Input(format!("[budgets] cannot be written as TOML: {e}")))?;
            fs::write(folder.path().join(format!("{i}.toml")), text).map_err(external_error)?;
        }
        let faults = faults.into_iter().map(|fault| (fault, FaultStage::Pending)).collect();
        Ok(SharedStore { cluster, members, faults, folder })
    }

    /// Command-line arguments of each balancer, in their order.
    pub fn balancer_args(&self) -> Vec<Vec<OsString>> {
        let file = |i: usize| self.folder.path().join(format!("{i}.toml"));
        (0..self.members.len()).map(|i| vec!["--operator".into(), file(i).into()]).collect()
    }

    /// Activates the faults that have begun by `now`, and clears those that are over.
    pub fn apply_due_faults(&mut self, now: Micros) {
        for (store_fault, stage) in &mut self.faults {
            let next = match *stage {
                FaultStage::Pending if now >= store_fault.from => FaultStage::Active,
                FaultStage::Active if now >= store_fault.to => FaultStage::Over,
                stage => stage,
            };
            if std::mem::replace(stage, next) == next {
                continue;
            }
            let fault = match (next, store_fault.kind) {
                (FaultStage::Active, FaultKind::StoreEmptied) => {
                    self.cluster.wipe();
                    continue;
                }
                (FaultStage::Active, FaultKind::StoreRefused) => Fault::Refuses,
                (FaultStage::Active, FaultKind::StoreAnswersLost) => Fault::LosesAnswers,
                (FaultStage::Active, _) => Fault::Silent,
                (_, FaultKind::StoreEmptied) => continue,
                _ => Fault::None,
            };
            for balancer in &store_fault.balancers {
                if let Some(member) = self.members.get(*balancer as usize) {
                    member.set(fault);
                }
            }
        }
    }

    /// Number of calls that the store has received.
    pub fn calls(&self) -> u64 {
        self.cluster.calls()
    }
}
