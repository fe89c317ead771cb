//! The named levels of service, and the policy that each of them puts in force.

/// How far the service is degraded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Everything works.
    #[default]
    Normal,
    /// Nearly all clients are served, but there is little capacity left, servers are missing, or the endpoint list is
    /// old.
    Strained,
    /// There is less capacity than demand: some clients must be rejected.
    Short,
    /// Most clients are rejected, or hardly a server is left.
    Severe,
}

impl Level {
    /// All levels, the best first.
    pub const ALL: [Level; 4] = [Level::Normal, Level::Strained, Level::Short, Level::Severe];

    /// Its name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Level::Normal => "normal",
            Level::Strained => "strained",
            Level::Short => "short",
            Level::Severe => "severe",
        }
    }

    /// The policy in force at this level.
    pub fn policy(self) -> LevelPolicy {
        match self {
            Level::Normal => LevelPolicy {
                shedding: ShedPolicy::Nobody,
                retries: RetryPolicy::WithinBudget,
                migration_pace: 1.0,
                probes_per_second: f64::INFINITY,
            },
            Level::Strained => LevelPolicy {
                shedding: ShedPolicy::OverQuota,
                retries: RetryPolicy::WithinBudget,
                migration_pace: 0.5,
                probes_per_second: f64::INFINITY,
            },
            Level::Short => LevelPolicy {
                shedding: ShedPolicy::NewClients,
                retries: RetryPolicy::UnsentOnly,
                migration_pace: 0.0,
                probes_per_second: 8.0,
            },
            Level::Severe => LevelPolicy {
                shedding: ShedPolicy::NewClients,
                retries: RetryPolicy::Never,
                migration_pace: 0.0,
                probes_per_second: 4.0,
            },
        }
    }

    /// The level for a severity: 1, 2 and 3 are the thresholds of the levels below normal.
    pub(super) fn for_severity(severity: f64) -> Level {
        Level::ALL[(severity.max(0.0) as usize).min(Level::ALL.len() - 1)]
    }
}

/// Which clients admission rejects first where not all can be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedPolicy {
    /// Nobody is rejected because of the level.
    Nobody,
    /// Clients of tenants over their quota.
    OverQuota,
    /// Besides, new clients: those whose connections broke were promised one.
    NewClients,
}

/// Which failed attempts may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// As many as the retry budget has.
    WithinBudget,
    /// Of those, only attempts that reached no server, since they cost the fleet nothing.
    UnsentOnly,
    /// None.
    Never,
}

/// What a level changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelPolicy {
    /// Which clients admission rejects first.
    pub shedding: ShedPolicy,
    /// Which failed attempts may be retried.
    pub retries: RetryPolicy,
    /// Pace of migrations over the usual one; 0 for none.
    pub migration_pace: f64,
    /// Health checks a second at most.
    pub probes_per_second: f64,
}
