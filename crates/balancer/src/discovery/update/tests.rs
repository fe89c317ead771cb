//! Tests of the ids and start times of listed servers.

use super::*;

#[test]
fn a_server_id_is_a_fixed_function_of_the_name() {
    // All balancers must compute the same id, in every version of this program.
    assert_eq!(server_id(""), ServerId(0xcbf2_9ce4_8422_2325));
    assert_eq!(server_id("a"), ServerId(0xaf63_dc4c_8601_ec8c));
    assert_ne!(server_id("s-5be2a07c"), server_id("s-5be2a07d"));
}

#[test]
fn start_times_are_converted_to_seconds_and_invalid_ones_to_0() {
    assert_eq!(started_at(1_796_115_693_678.0), 1_796_115_693.678);
    assert_eq!([started_at(0.0), started_at(-1.0), started_at(f64::INFINITY)], [0.0; 3]);
}
