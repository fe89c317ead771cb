//! The levels of service and the policy of each.

/// How far the service is degraded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// The service is not degraded.
    #[default]
    Normal,
    /// Nearly all clients are served, but there is little spare capacity, servers are missing, or the endpoint list is
    /// stale.
    Strained,
    /// Capacity is short: it is less than the demand, and some clients must be rejected.
    Short,
    /// Most clients are rejected, or hardly any server is in service.
    Severe,
}

impl Level {
    /// All levels, from the least to the most degraded.
    pub const ALL: [Level; 4] = [Level::Normal, Level::Strained, Level::Short, Level::Severe];

    /// The level's name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            Level::Normal => "normal",
            Level::Strained => "strained",
            Level::Short => "short",
            Level::Severe => "severe",
        }
    }

    /// The policy that applies at this level.
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

    /// The level for a severity: 1, 2 and 3 are the thresholds of `Strained`, `Short` and `Severe`.
    pub(super) fn for_severity(severity: f64) -> Level {
        Level::ALL[(severity.max(0.0) as usize).min(Level::ALL.len() - 1)]
    }
}

/// Which clients are rejected first if not all can be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedPolicy {
    /// No client is rejected because of the level.
    Nobody,
    /// Clients of tenants that exceed their quota.
    OverQuota,
    /// Clients of tenants that exceed their quota, then new clients. Clients whose connection broke come last, since
    /// they had already been admitted.
    NewClients,
}

/// Which failed attempts may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Any attempt, as far as the retry budget permits.
    WithinBudget,
    /// Within the retry budget, only attempts that no server has executed, since they cost the fleet nothing.
    UnsentOnly,
    /// No attempt.
    Never,
}

/// The measures that apply at a level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelPolicy {
    /// Which clients are rejected first.
    pub shedding: ShedPolicy,
    /// Which failed attempts may be retried.
    pub retries: RetryPolicy,
    /// Rate of migrations relative to the usual rate; 0 stops migrations.
    pub migration_pace: f64,
    /// Maximum number of health checks per second.
    pub probes_per_second: f64,
}
