//! Limits on descriptors.

use super::*;

#[test]
fn idle_clients_take_no_capacity_and_are_evicted_only_if_that_helps() {
    let b = DescriptorBudget::new(100);
    let held = |all, unserved| DescriptorsInUse { total: all, idle: unserved };
    // 100 less 16 of the program's own and 16 to spare leaves 68, the last of them for the asking client.
    assert_eq!([67, 68].map(|n| b.can_connect(held(n, 0))), [true, false]);
    assert_eq!([67, 68].map(|n| b.can_connect(held(n + 16, 16))), [true, false]);
    assert!(!b.can_connect(held(67 + 17, 17)) && b.can_evict(held(67 + 17, 17)));
    assert!(!b.can_evict(held(68 + 16, 16)), "they would go in vain");
    assert!(b.can_accept(held(83, 0)) && !b.can_accept(held(84, 0)) && b.can_accept(held(84, 1)));
    assert_eq!([25, 26].map(|n| b.must_evict(held(n, n))), [false, true]);
    assert_eq!([84, 85].map(|n| b.must_evict(held(n, 1))), [false, true]);
}
