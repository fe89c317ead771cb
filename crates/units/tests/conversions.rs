//! Tests of the conversions between microseconds and seconds.

use shorewharf_units::{MICROS_PER_SECOND, Micros, micros_from_seconds, seconds_from_micros};

#[test]
fn whole_microseconds_are_unchanged_by_conversion_to_seconds_and_back() {
    for micros in [0, 1, 999, 150_000, MICROS_PER_SECOND, 86_400 * MICROS_PER_SECOND + 1] {
        assert_eq!(micros_from_seconds(seconds_from_micros(micros)), micros);
    }
}

#[test]
fn fractions_of_a_microsecond_are_rounded_to_the_nearest() {
    assert_eq!(micros_from_seconds(1.4e-6), 1);
    assert_eq!(micros_from_seconds(1.6e-6), 2);
}

#[test]
fn negative_seconds_and_nan_become_zero_and_infinity_the_maximum() {
    assert_eq!(micros_from_seconds(-1.0), 0);
    assert_eq!(micros_from_seconds(f64::NAN), 0);
    assert_eq!(micros_from_seconds(f64::INFINITY), Micros::MAX);
}
