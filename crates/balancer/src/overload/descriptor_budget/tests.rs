//! Tests of the limits on descriptors.

use super::*;

#[test]
fn idle_clients_use_reserved_descriptors_and_are_evicted_only_if_that_frees_capacity() {
    let budget = DescriptorBudget::new(100);
    let held = |total, idle| DescriptorsInUse { total, idle };
    // A limit of 100 less 16 for the process and 16 for idle clients leaves 68, the last of them for the new
    // connection.
    assert_eq!([67, 68].map(|n| budget.can_connect(held(n, 0))), [true, false]);
    assert_eq!([67, 68].map(|n| budget.can_connect(held(n + 16, 16))), [true, false]);
    assert!(!budget.can_connect(held(67 + 17, 17)) && budget.can_evict(held(67 + 17, 17)));
    assert!(!budget.can_evict(held(68 + 16, 16)), "an eviction would free no capacity");
    assert!(
        budget.can_accept(held(83, 0)) && !budget.can_accept(held(84, 0)) && budget.can_accept(held(84, 1))
    );
    assert_eq!([25, 26].map(|n| budget.must_evict(held(n, n))), [false, true]);
    assert_eq!([84, 85].map(|n| budget.must_evict(held(n, 1))), [false, true]);
}
