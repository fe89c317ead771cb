//! Checks of numbers that come from outside the balancer.

/// The value, if it is finite and greater than 0.
pub(crate) fn positive(value: f64) -> Option<f64> {
    (value.is_finite() && value > 0.0).then_some(value)
}
