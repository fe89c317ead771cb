//! Policies that run in place of balancers: the real driver and decision module, and reference policies to
//! compare it with. All use the same emulated peers, so that two of them differ only in their decisions.

mod board;
mod node_directory;
mod oracle;
mod peers;
mod policies;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, RwLock};

use shorewharf_decisions::interface::{ServerEntry, Settings};
use shorewharf_driver::{Driver, InitialState, NetworkEvent};
use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::{BalancerId, FromBalancer, ToBalancer};
use shorewharf_emulator::virtual_time::{GroundTruth, Host, Instance, InstanceReport};
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};
use shorewharf_settings::operator::{OperatorSettings, OperatorSettingsError, Recovery, Tenancy};
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};
use thiserror::Error;

use board::SharedLoadBoard;
pub use node_directory::NodeDirectory;
use oracle::Oracle;
pub use peers::EmulatedPeers;
use policies::{Pick, PlainPolicy};

/// Which policy makes the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// The project's driver and decision module.
    Module,
    /// A random server that is listed as ready.
    Random,
    /// The ready servers in turn.
    RoundRobin,
    /// The server with the fewest of the balancer's own connections.
    Fewest,
    /// The one of two random servers that has fewer of the balancer's own connections.
    TwoChoices,
    /// Placement by the nodes' true state, which no real balancer knows: an upper bound.
    Oracle,
}

/// No policy has this name.
#[derive(Debug, Error)]
#[error(
    "{0:?} is not the name of a policy; expected module (module@FILE with an operator's file, module-with-tenancy, \
     module-without-tenancy, module-with-snapshot, module-alone, module-levels, module-repeats, module-moves, \
     module-care, module-told, module-unsounded), random, round-robin, fewest, two-choices or oracle"
)]
pub struct UnknownPolicy(String);

/// Why a policy could not be created.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// No policy has this name.
    #[error(transparent)]
    Unknown(#[from] UnknownPolicy),
    /// The operator's file can't be read.
    #[error("{0}: cannot read the operator's file: {1}")]
    File(PathBuf, std::io::Error),
    /// The operator's file can't be used.
    #[error("{0}: {1}")]
    Operator(PathBuf, Box<OperatorSettingsError>),
}

impl std::str::FromStr for PolicyChoice {
    type Err = UnknownPolicy;
    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        Ok(match name {
            "module" => PolicyChoice::Module,
            "random" => PolicyChoice::Random,
            "round-robin" => PolicyChoice::RoundRobin,
            "fewest" => PolicyChoice::Fewest,
            "two-choices" => PolicyChoice::TwoChoices,
            "oracle" => PolicyChoice::Oracle,
            _ => return Err(UnknownPolicy(name.to_owned())),
        })
    }
}

/// Creates the balancers of a run, all with the same policy.
#[derive(Debug)]
pub struct PolicyHosts {
    policy: PolicyChoice,
    operator: OperatorSettings,
    /// True state of the nodes at the last tick, for the oracle.
    ground_truth: Arc<RwLock<Vec<GroundTruth>>>,
    /// Whether the module's state is saved and restored across restarts.
    saves_state: bool,
    /// The exchange of loads between the balancers, if there is one.
    load_board: Option<Arc<SharedLoadBoard>>,
    /// Whether the module may probe servers, if the day allows probes.
    allows_probes: bool,
}

impl PolicyHosts {
    /// Creates hosts of balancers that run this policy.
    pub fn new(policy: PolicyChoice) -> Self {
        PolicyHosts {
            policy,
            operator: OperatorSettings::default(),
            ground_truth: Arc::default(),
            saves_state: false,
            load_board: None,
            allows_probes: true,
        }
    }

    /// Creates hosts of balancers that run the policy with this name. `module@FILE` is the module with an
    /// operator's file.
    ///
    /// # Errors
    /// No policy has this name, or its operator file can't be read or used.
    pub fn named(policy: &str) -> Result<PolicyHosts, PolicyError> {
        let with_recovery = |recovery| OperatorSettings { recovery, ..OperatorSettings::default() };
        if policy == "module-with-snapshot" {
            return Ok(PolicyHosts { saves_state: true, ..PolicyHosts::new(PolicyChoice::Module) });
        }
        if policy == "module-told" {
            return Ok(PolicyHosts {
                load_board: Some(Arc::default()),
                ..PolicyHosts::new(PolicyChoice::Module)
            });
        }
        if policy == "module-unsounded" {
            return Ok(PolicyHosts { allows_probes: false, ..PolicyHosts::new(PolicyChoice::Module) });
        }
        let with_tenancy = |is_enabled| OperatorSettings {
            tenancy: Tenancy { is_enabled, ..Tenancy::default() },
            ..OperatorSettings::default()
        };
        let operator = match policy {
            "module-with-tenancy" => with_tenancy(true),
            "module-without-tenancy" => with_tenancy(false),
            "module-alone" => with_recovery(Recovery::OFF),
            "module-levels" => with_recovery(Recovery { levels: true, ..Recovery::OFF }),
            "module-repeats" => with_recovery(Recovery { retry_budget: true, ..Recovery::OFF }),
            "module-moves" => with_recovery(Recovery { rebalance: true, ..Recovery::OFF }),
            "module-care" => with_recovery(Recovery::ALL),
            other => match other.strip_prefix("module@").map(PathBuf::from) {
                None => return Ok(PolicyHosts::new(other.parse()?)),
                Some(path) => match std::fs::read_to_string(&path) {
                    Ok(text) => OperatorSettings::parse(&text)
                        .map_err(|e| PolicyError::Operator(path, Box::new(e)))?,
                    Err(e) => return Err(PolicyError::File(path, e)),
                },
            },
        };
        Ok(PolicyHosts { operator, ..PolicyHosts::new(PolicyChoice::Module) })
    }
}

impl Host for PolicyHosts {
    fn instance(&self, day: &Day, id: BalancerId, settings: &str) -> Box<dyn Instance> {
        let settings = shorewharf_settings::parse(settings.as_bytes()).map(|parsed| parsed.settings);
        let mut settings = settings.expect("the settings that the emulator wrote are valid");
        settings.may_probe &= self.allows_probes;
        let first_link = u64::from(id.0) << 40;
        let factory = InstanceFactory {
            policy: self.policy,
            operator: self.operator.clone(),
            ground_truth: Arc::clone(&self.ground_truth),
        };
        let board_view = self.load_board.clone().map(|board| BoardView { board, id, next_interval: 0 });
        Box::new(HostedBalancer {
            directory: NodeDirectory::new(day),
            settings,
            factory,
            next_link: first_link,
            incarnation: None,
            saved_state: self.saves_state.then(SavedState::default),
            board_view,
        })
    }

    fn wants_ground_truth(&self) -> bool {
        self.policy == PolicyChoice::Oracle
    }

    fn observe_ground_truth(&self, _now: Micros, nodes: &[GroundTruth]) {
        let mut held = self.ground_truth.write().unwrap_or_else(std::sync::PoisonError::into_inner);
        held.clear();
        held.extend_from_slice(nodes);
    }
}

/// Creates the policy of each incarnation.
struct InstanceFactory {
    policy: PolicyChoice,
    operator: OperatorSettings,
    ground_truth: Arc<RwLock<Vec<GroundTruth>>>,
}

/// The policy of a running balancer.
enum Policy {
    Module(Box<Driver>),
    Plain(PlainPolicy),
    Oracle(Oracle),
}

impl Policy {
    fn process_events(&mut self, peers: &mut EmulatedPeers) {
        match self {
            Policy::Module(driver) => driver.process_events(peers),
            Policy::Plain(policy) => policy.process_events(peers),
            Policy::Oracle(oracle) => oracle.process_events(peers),
        }
    }
}

impl InstanceFactory {
    fn create_policy(
        &self,
        set: &Settings,
        seed: u64,
        known: Vec<ServerEntry>,
        peers: &mut EmulatedPeers,
    ) -> Policy {
        let pick = match self.policy {
            PolicyChoice::Module => {
                let initial = InitialState { settings: set.clone(), seed, servers: known };
                let driver = Driver::start(initial, &self.operator, peers);
                return Policy::Module(Box::new(driver));
            }
            PolicyChoice::Random => Pick::Random,
            PolicyChoice::RoundRobin => Pick::RoundRobin,
            PolicyChoice::Fewest => Pick::Fewest,
            PolicyChoice::TwoChoices => Pick::TwoChoices,
            PolicyChoice::Oracle => {
                return Policy::Oracle(Oracle::start(Arc::clone(&self.ground_truth), set, &known, peers));
            }
        };
        Policy::Plain(PlainPolicy::start(pick, set, seed, known, peers))
    }
}

/// Interval between snapshots, the program's default.
const SAVE_INTERVAL: Micros = 2_000_000;

/// A balancer's most recent snapshot.
#[derive(Default)]
struct SavedState {
    saved_at: Micros,
    entries: Vec<SnapshotEntry>,
}

impl SavedState {
    /// Saves the module's state if the interval since the last snapshot is over.
    fn save_if_due(&mut self, now: Micros, policy: &mut Policy) {
        let Policy::Module(driver) = policy else { return };
        if now < self.saved_at + SAVE_INTERVAL {
            return;
        }
        (self.saved_at, self.entries) = (now, Vec::new());
        let mut at = ExportCursor::default();
        while at != ExportCursor::End {
            at = driver.gate().export_state(at, 512, &mut self.entries);
        }
    }

    /// Restores the saved state into the module of the next incarnation. Plain policies and the oracle have
    /// none.
    fn restore(&mut self, now: Micros, policy: &mut Policy) {
        if let Policy::Module(driver) = policy {
            let (age_s, learned_state) =
                (seconds_from_micros(now.saturating_sub(self.saved_at)), std::mem::take(&mut self.entries));
            driver.gate().restore_state(seconds_from_micros(now), age_s, true, learned_state);
        }
    }
}

/// A balancer's access to the loads of its peers.
struct BoardView {
    board: Arc<SharedLoadBoard>,
    id: BalancerId,
    /// Number of the interval of the next exchange.
    next_interval: u64,
}

impl BoardView {
    /// Publishes the balancer's load and reads that of its peers if the interval of the next exchange has
    /// begun.
    fn exchange_if_due(&mut self, now: Micros, peers: &mut EmulatedPeers, policy: &mut Policy) {
        let Policy::Module(driver) = policy else { return };
        let interval = SharedLoadBoard::interval_of(now);
        if interval >= self.next_interval {
            self.next_interval = interval + 1;
            peers.emit(NetworkEvent::RemoteLoadsUpdated(self.board.exchange(
                interval,
                self.id,
                driver.gate().holdings(),
            )));
        }
    }
}

/// A balancer across all its incarnations.
struct HostedBalancer {
    directory: NodeDirectory,
    settings: Settings,
    factory: InstanceFactory,
    /// Number of the next connection to a node; never reused by later incarnations.
    next_link: u64,
    /// The peers and the policy; none while the process is down.
    incarnation: Option<(EmulatedPeers, Policy)>,
    saved_state: Option<SavedState>,
    board_view: Option<BoardView>,
}

impl Instance for HostedBalancer {
    fn turn(&mut self, now: Micros, inputs: &[ToBalancer], actions: &mut Vec<FromBalancer>) {
        if let Some((peers, _)) = &mut self.incarnation {
            peers.set_now(now);
        }
        for input in inputs {
            match input {
                ToBalancer::Start { seed, known } => {
                    let mut peers = EmulatedPeers::new(
                        self.directory.clone(),
                        micros_from_seconds(self.settings.connect_timeout),
                        now,
                        self.next_link,
                    );
                    actions.push(FromBalancer::Ready);
                    let known = peers.update_endpoints(true, known);
                    let mut policy = self.factory.create_policy(&self.settings, *seed, known, &mut peers);
                    policy.process_events(&mut peers);
                    if let Some(saved_state) = &mut self.saved_state {
                        saved_state.restore(now, &mut policy);
                    }
                    self.incarnation = Some((peers, policy));
                }
                ToBalancer::Kill => {
                    // A killed process takes no actions at the end of this tick.
                    if let Some((peers, _)) = self.incarnation.take() {
                        self.next_link = peers.next_link();
                    }
                }
                input => {
                    if let Some((peers, policy)) = &mut self.incarnation {
                        peers.handle(input);
                        policy.process_events(peers);
                    }
                }
            }
        }
        // Messages arrive within the tick and are handled before the timers at its end.
        if let Some((peers, policy)) = &mut self.incarnation {
            peers.fire_due_timers();
            if let Some(board_view) = &mut self.board_view {
                board_view.exchange_if_due(now, peers, policy);
            }
            policy.process_events(peers);
            if let Some(saved_state) = &mut self.saved_state {
                saved_state.save_if_due(now, policy);
            }
            self.next_link = peers.next_link();
            peers.take_actions(actions);
        }
    }

    fn next_due(&self) -> Option<Micros> {
        let (peers, _) = self.incarnation.as_ref()?;
        peers
            .next_timer()
            .into_iter()
            .chain(self.board_view.as_ref().map(|view| view.next_interval * board::EXCHANGE_INTERVAL))
            .min()
    }

    fn report(&mut self, report: &mut InstanceReport) {
        let Some((peers, policy)) = &mut self.incarnation else { return };
        report.lines = peers.take_log_lines();
        if let Policy::Module(driver) = policy {
            let stats = driver.gate().overload_controller().stats();
            report.level = stats.level.level.name();
            let rebalance = &stats.rebalance;
            report.gauges = vec![
                ("strain", stats.level.severity),
                ("imbalance", rebalance.imbalance),
                ("repeats left", stats.retry.available),
                ("moving", f64::from(u8::from(rebalance.is_active))),
            ];
            let count_of =
                |causes: &BTreeMap<&'static str, u64>, name| causes.get(name).copied().unwrap_or(0);
            report.counts = vec![
                ("level changes", stats.level.changes.values().sum()),
                ("moves home", count_of(&rebalance.migrations, "home")),
                ("moves to level", count_of(&rebalance.migrations, "level")),
                ("landed", count_of(&rebalance.arrivals, "target")),
                ("landed elsewhere", count_of(&rebalance.arrivals, "elsewhere")),
                ("landed back", count_of(&rebalance.arrivals, "back")),
                ("away", count_of(&rebalance.arrivals, "away")),
                ("pauses", rebalance.pauses.values().sum()),
                ("first attempts", stats.retry.first_attempts),
                ("repeats", stats.retry.retries),
                (
                    "repeats denied",
                    stats.retry.permits.iter().filter(|g| *g.0 != "granted").map(|g| g.1).sum(),
                ),
            ];
        }
    }
}
