//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::context::tests::{context, pair};

#[test]
fn a_line_unanswered_for_a_second_and_a_half_shows_a_dead_connection() {
    let (client, stream) = pair();
    let from = client.local_addr().expect("bound");
    let mut session = Session::new(Connection::new(stream), from, 0);
    let mut context = context(2_499_999);
    assert_eq!(session.server_silent_since(&context), None);
    *session.unanswered_since_mut() = Some(1_000_000);
    session.establish();
    // Clients say a line every 2 s, and a dead connection must be left within 7 s.
    assert_eq!(
        (session.server_silent_since(&context), session.next_deadline(&context)),
        (None, Some(2_500_000))
    );
    context.begin_iteration(2_500_000);
    assert_eq!(session.server_silent_since(&context), Some(1_000_000));
    // After a standstill it is first given time to be heard.
    context.begin_iteration(9_000_000);
    assert_eq!(
        session.next_deadline(&context),
        Some(10_500_000),
        "it was not heard while the machine stood still"
    );
}
