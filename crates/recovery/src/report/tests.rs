//! Tests of the module that these stand beside.

use super::*;

#[test]
fn a_shortage_is_told_once_at_its_begin_and_once_at_its_end() {
    let mut shortage = Shortage::default();
    let waiting = [0, 3, 0, 0, 4, 4, 4, 0, 4, 4, 0, 0, 0, 0, 0, 0, 0];
    let told: Vec<String> = waiting.iter().filter_map(|n| shortage.look(*n, &Fleet::default())).collect();
    assert_eq!(told.len(), 2, "{told:?}");
    assert!(told[0].starts_with("room-short waiting=4"), "{told:?}");
    assert!(told[1].starts_with("room-again after_s=4 waiting=0 most=4"), "{told:?}");
}
