//! Tests of the module that these stand beside.

use super::*;

#[test]
fn a_shortage_is_told_once_at_its_begin_and_once_at_its_end() {
    let mut shortage = CapacityShortage::default();
    let waiting = [0, 3, 0, 0, 4, 4, 4, 0, 4, 4, 0, 0, 0, 0, 0, 0, 0];
    let lines: Vec<String> =
        waiting.iter().filter_map(|count| shortage.check(*count, &FleetEstimate::default())).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].starts_with("room-short waiting=4"), "{lines:?}");
    assert!(lines[1].starts_with("room-again after_s=4 waiting=0 most=4"), "{lines:?}");
}
