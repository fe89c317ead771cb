//! What others may tell the module: repeats that are not worth their cost, and where a moved client is expected.

mod common;
use common::{TestInstance, attempted_server, endpoint_list, entry, is_rejected, request, settings};
use shorewharf_decisions::interface::{
    Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};

/// A client that was moved for balance went straight back to the server that kept its place.
#[test]
fn a_moved_client_is_sent_to_where_it_is_expected_and_only_if_that_takes_clients() {
    for (stage, expected) in [(ServerState::Ready, true), (ServerState::Draining, false)] {
        let mut instance = TestInstance::new(settings(), 12);
        let home = instance.connect(request(1, instance.now)).expect("there is room");
        let next = ServerId(home.0 % 12 + 1);
        // Others on the new server: by usage alone the client would not go there.
        (20..30).for_each(|id| drop(instance.handle(Event::ConnectionRestored(request(id, 100.0), next))));
        instance.balancer.on_migrated(RequestId(1), Some(next), instance.now + 3.0);
        instance.end_attempt_as(1, home, 0, Outcome::Cancelled, true);
        instance.handle(endpoint_list(
            &(1..=12)
                .map(|i| if i == next.0 { ServerEntry { state: stage, ..entry(i) } } else { entry(i) })
                .collect::<Vec<_>>(),
        ));
        let back = instance.connect(Request { key: 1001, ..request(2, instance.now) });
        assert_eq!(back == Some(next), expected, "{stage:?}: {back:?}, not {next:?}");
    }
}

/// A failed attempt was repeated at once however little hope there was, and a fleet that had no room got twice the work.
#[test]
fn a_failed_attempt_is_answered_at_once_while_repeats_are_not_allowed() {
    for allowed in [true, false] {
        let mut instance = TestInstance::new(settings(), 12);
        let first = attempted_server(&instance.receive(request(1, instance.now))).expect("there is room");
        instance.balancer.allow_retries(allowed);
        let then = instance.end_attempt(1, first, 0, Outcome::Rejected);
        assert_eq!((attempted_server(&then).is_some(), is_rejected(&then)), (allowed, !allowed));
    }
}
