//! What a balancer believes of the fleet when much of it goes at once, and what follows from it besides the choice of
//! a server, which stays the decision module's. Times are seconds on the caller's clock; no I/O, no text.

pub mod estimate;
