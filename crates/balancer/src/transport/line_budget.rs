//! Limits the lines of one direction of a connection that are inspected in one turn. The work for a line hardly depends on its
//! length, so a limit on bytes would let short lines take very long.

/// The number of lines in one turn.
pub const LINES_PER_TURN: usize = 64;

/// The lines that may still be inspected in this turn.
#[derive(Clone, Copy, Debug)]
pub struct LineBudget(usize);

impl LineBudget {
    /// Creates the budget of a turn.
    pub fn new() -> Self {
        LineBudget(LINES_PER_TURN)
    }

    /// Takes a line from the budget.
    pub fn take(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }

    /// Whether nothing is left, so that there may be more lines to inspect in the next turn.
    pub fn is_exhausted(self) -> bool {
        self.0 == 0
    }
}
