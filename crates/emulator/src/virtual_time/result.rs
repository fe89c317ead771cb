//! What a run came to.

use serde::Serialize;

use crate::Micros;
use crate::audit::Verdict;
use crate::places::Band;
use crate::score::Outcome;
use crate::world::series::Series;

/// Everything that reports need of a run. No clock of the machine's is in it: the same day gives the same bytes.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The account.
    pub outcome: Outcome,
    /// What the auditor found.
    pub verdict: Verdict,
    /// Figures by second and sums by cause.
    pub series: Series,
    /// What went wrong, when and whom it struck.
    pub faults: Vec<Band>,
    /// Events of the world's and of the balancers.
    pub events: u64,
    /// When the last client was answered, in the day's time.
    pub ended_at: Micros,
}
