//! What others may tell the module: repeats that are not worth their cost, and where a moved client is expected.

mod common;
use common::{Proxy, entry, list, refused, request, sent, settings};
use shorewharf_decisions::interface::{
    Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};

/// A client that was moved for balance went straight back to the server that kept its place.
#[test]
fn a_moved_client_is_sent_to_where_it_is_expected_and_only_if_that_takes_clients() {
    for (stage, expected) in [(ServerState::Ready, true), (ServerState::Draining, false)] {
        let mut p = Proxy::new(settings(), 12);
        let home = p.connect(request(1, p.now)).expect("there is room");
        let next = ServerId(home.0 % 12 + 1);
        // Others on the new server: by usage alone the client would not go there.
        (20..30).for_each(|id| drop(p.give(Event::ConnectionRestored(request(id, 100.0), next))));
        p.module.on_migrated(RequestId(1), Some(next), p.now + 3.0);
        p.end_as(1, home, 0, Outcome::Cancelled, true);
        p.give(list(
            &(1..=12)
                .map(|i| if i == next.0 { ServerEntry { state: stage, ..entry(i) } } else { entry(i) })
                .collect::<Vec<_>>(),
        ));
        let back = p.connect(Request { key: 1001, ..request(2, p.now) });
        assert_eq!(back == Some(next), expected, "{stage:?}: {back:?}, not {next:?}");
    }
}

/// A failed attempt was repeated at once however little hope there was, and a fleet that had no room got twice the work.
#[test]
fn a_failed_attempt_is_answered_at_once_while_repeats_are_not_allowed() {
    for allowed in [true, false] {
        let mut p = Proxy::new(settings(), 12);
        let first = sent(&p.arrive(request(1, p.now))).expect("there is room");
        p.module.allow_retries(allowed);
        let then = p.end(1, first, 0, Outcome::Rejected);
        assert_eq!((sent(&then).is_some(), refused(&then)), (allowed, !allowed));
    }
}
