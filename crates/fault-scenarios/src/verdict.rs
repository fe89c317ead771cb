//! The verdict on an expectation.

/// The verdict on one expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The key of the expectation, or a description that begins with what it bounds.
    pub expectation: String,
    /// Whether it was met.
    pub is_met: bool,
    /// What was observed, with the time of the worst value.
    pub observed: String,
    /// What was expected.
    pub expected: String,
}

impl Verdict {
    pub(crate) fn new(
        expectation: &str,
        is_met: bool,
        observed: impl Into<String>,
        expected: impl Into<String>,
    ) -> Verdict {
        Verdict {
            expectation: expectation.to_owned(),
            is_met,
            observed: observed.into(),
            expected: expected.into(),
        }
    }
}
