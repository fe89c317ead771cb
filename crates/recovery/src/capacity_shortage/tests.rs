//! Tests of the log lines about shortages of capacity.

use super::*;

#[test]
fn a_shortage_is_logged_once_when_it_begins_and_once_when_it_ends() {
    let mut shortage = CapacityShortage::default();
    let waiting = [0, 3, 0, 0, 4, 4, 4, 0, 4, 4, 0, 0, 0, 0, 0, 0, 0];
    let lines: Vec<String> =
        waiting.iter().filter_map(|count| shortage.check(*count, &FleetEstimate::default())).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].starts_with("room-short waiting=4"), "{lines:?}");
    assert!(lines[1].starts_with("room-again after_s=4 waiting=0 most=4"), "{lines:?}");
}
