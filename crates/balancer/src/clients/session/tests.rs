//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::iteration::tests::{pair, turn};

#[test]
fn a_line_unanswered_for_a_second_and_a_half_shows_a_dead_connection() {
    let (client, stream) = pair();
    let from = client.local_addr().expect("bound");
    let mut s = Session::new(Connection::new(stream), from, 0);
    let mut turn = turn(2_499_999);
    assert_eq!(s.silent_since(&turn), None);
    *s.asked() = Some(1_000_000);
    s.stands();
    // Clients say a line every 2 s, and a dead connection must be left within 7 s.
    assert_eq!((s.silent_since(&turn), s.due(&turn)), (None, Some(2_500_000)));
    turn.begin(2_500_000);
    assert_eq!(s.silent_since(&turn), Some(1_000_000));
    // After a standstill it is first given time to be heard.
    turn.begin(9_000_000);
    assert_eq!(s.due(&turn), Some(10_500_000), "it was not heard while the machine stood still");
}
