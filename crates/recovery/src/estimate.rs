//! What each server bears and carries, as far as one balancer can tell.

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{ServerId, Stage};

/// What is believed of one server. Loads are work a second, in the unit of list weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Belief {
    /// Its state as listed.
    pub stage: Stage,
    /// Share of its warm capacity that it has by now, 1 where warm.
    pub ramp: f64,
    /// What it can bear now, of all balancers together.
    pub bears: f64,
    /// What it carries now, of all balancers together.
    pub carries: f64,
    /// The part of that which this balancer put there; set-ups in hand and groups included.
    pub mine: f64,
    /// `bears` may be off by this share of itself, to either side.
    pub unsure: f64,
    /// When the last sign of its state came.
    pub seen: f64,
    /// It answers nothing, whatever the list says.
    pub dead: bool,
}

/// All that is believed of the fleet, by server. Only servers that are listed and not gone.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// By server.
    pub servers: BTreeMap<ServerId, Belief>,
    /// Learned mean load of a standing connection; 0 until one was told.
    pub mean: f64,
}
