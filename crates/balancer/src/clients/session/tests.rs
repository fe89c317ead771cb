//! Tests of a session's deadlines.

use super::*;
use crate::event_loop::context::tests::{context, pair};

#[test]
fn a_line_unanswered_for_a_second_and_a_half_shows_a_dead_connection() {
    let (client, stream) = pair();
    let client_address = client.local_addr().expect("bound");
    let mut session = Session::new(Connection::new(stream), client_address, 0);
    let mut context = context(2_499_999);
    assert_eq!(session.server_silent_since(&context), None);
    *session.unanswered_since_mut() = Some(1_000_000);
    session.establish();
    // Clients send a line every 2 s, and must leave a dead connection within 7 s.
    assert_eq!(
        (session.server_silent_since(&context), session.next_deadline(&context)),
        (None, Some(2_500_000))
    );
    context.begin_iteration(2_500_000);
    assert_eq!(session.server_silent_since(&context), Some(1_000_000));
    // After a stall the timeout runs anew, since input from the server may be unread.
    context.begin_iteration(9_000_000);
    assert_eq!(
        session.next_deadline(&context),
        Some(10_500_000),
        "the stall counted as silence of the server"
    );
}
