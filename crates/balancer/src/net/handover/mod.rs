//! One process of a balancer replaced by another: the old one offers its listeners and what it knows of the list, the
//! new one says when it serves, and while both run they are one balancer to rules and limits.

pub mod forebear;
pub mod heirs;
pub mod overlap;
pub mod words;
