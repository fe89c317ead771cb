//! Owns the store of a trial whose balancers share budgets: a stand-in with a member for each of them, the operators' files that
//! name it, and what the trial's file breaks between them.

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

/// A store, and what fails between it and the balancers.
pub struct SharedStore {
    cluster: Cluster,
    members: Vec<Member>,
    breaks: Vec<(StoreFault, BreakStage)>,
    folder: TempDir,
}

/// How far a break is.
#[derive(Clone, Copy, PartialEq)]
enum BreakStage {
    Ahead,
    On,
    Over,
}

impl SharedStore {
    /// Starts the store and writes each balancer's file: the terms, its own member of the store, and all names.
    pub fn start(
        day: &Day,
        terms: &toml::Table,
        breaks: Vec<StoreFault>,
    ) -> Result<SharedStore, CommandError> {
        let outside = |e: std::io::Error| CommandError::External(format!("the store's stand-in: {e}"));
        let (cluster, folder) = (Cluster::new(), TempDir::with_prefix("shorewharf-store-").map_err(outside)?);
        let n = day.balancers.len();
        let members = (0..n).map(|_| cluster.member()).collect::<Result<Vec<_>, _>>().map_err(outside)?;
        let names: String = (0..n as u32).map(|i| Directory::balancer_name(BalancerId(i)) + "\n").collect();
        let list = folder.path().join("members");
        fs::write(&list, names).map_err(outside)?;
        for (i, member) in members.iter().enumerate() {
            let mut budgets = terms.clone();
            budgets.insert("store".to_owned(), vec![member.endpoint()].into());
            budgets.insert("members".to_owned(), list.display().to_string().into());
            let file: toml::Table =
                [("budgets".to_owned(), toml::Value::Table(budgets))].into_iter().collect();
            let text = toml::to_string(&file).map_err(|e| CommandError::Input(format!("budgets: {e}")))?;
            fs::write(folder.path().join(format!("{i}.toml")), text).map_err(outside)?;
        }
        let breaks = breaks.into_iter().map(|b| (b, BreakStage::Ahead)).collect();
        Ok(SharedStore { cluster, members, breaks, folder })
    }

    /// Each balancer's arguments.
    pub fn args(&self) -> Vec<Vec<OsString>> {
        let file = |i: usize| self.folder.path().join(format!("{i}.toml"));
        (0..self.members.len()).map(|i| vec!["--operator".into(), file(i).into()]).collect()
    }

    /// Breaks what is to be broken by now, and heals what is over.
    pub fn look(&mut self, now: Micros) {
        for (b, step) in &mut self.breaks {
            let next = match *step {
                BreakStage::Ahead if now >= b.from => BreakStage::On,
                BreakStage::On if now >= b.to => BreakStage::Over,
                step => step,
            };
            if std::mem::replace(step, next) == next {
                continue;
            }
            let fault = match (next, b.kind) {
                (BreakStage::On, FaultKind::StoreEmptied) => {
                    self.cluster.wipe();
                    continue;
                }
                (BreakStage::On, FaultKind::StoreRefused) => Fault::Refuses,
                (BreakStage::On, FaultKind::StoreAnswersLost) => Fault::LosesAnswers,
                (BreakStage::On, _) => Fault::Silent,
                (_, FaultKind::StoreEmptied) => continue,
                _ => Fault::None,
            };
            for who in &b.balancers {
                if let Some(member) = self.members.get(*who as usize) {
                    member.set(fault);
                }
            }
        }
    }

    /// Calls that came at the store.
    pub fn calls(&self) -> u64 {
        self.cluster.calls()
    }
}
