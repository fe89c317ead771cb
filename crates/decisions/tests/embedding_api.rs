//! Decisions that are made outside the balancer: whether failed attempts are retried, and where a migrated
//! client is expected.

mod common;
use common::{TestInstance, attempted_server, endpoint_list, entry, is_rejected, request, settings};
use shorewharf_decisions::interface::{
    Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};

/// Guards against a client that was migrated for balance returning to its old server, which had kept a
/// reservation for it.
#[test]
fn a_migrated_client_is_sent_to_its_target_only_if_that_accepts_clients() {
    for (state, expected) in [(ServerState::Ready, true), (ServerState::Draining, false)] {
        let mut instance = TestInstance::new(settings(), 12);
        let old_server = instance.connect(request(1, instance.now)).expect("an attempt begins");
        let target = ServerId(old_server.0 % 12 + 1);
        // The target has other clients, so its load alone would not make it the choice for the client.
        (20..30).for_each(|id| drop(instance.handle(Event::ConnectionRestored(request(id, 100.0), target))));
        instance.balancer.on_migrated(RequestId(1), Some(target), instance.now + 3.0);
        instance.end_attempt_as(1, old_server, 0, Outcome::Cancelled, true);
        instance.handle(endpoint_list(
            &(1..=12)
                .map(|i| if i == target.0 { ServerEntry { state, ..entry(i) } } else { entry(i) })
                .collect::<Vec<_>>(),
        ));
        let chosen = instance.connect(Request { key: 1001, ..request(2, instance.now) });
        assert_eq!(chosen == Some(target), expected, "target {target:?} is {state:?}: sent to {chosen:?}");
    }
}

/// Guards against an immediate retry of every failed attempt, which doubled the work of a fleet without free
/// capacity.
#[test]
fn a_failed_attempt_is_answered_at_once_while_retries_are_forbidden() {
    for allowed in [true, false] {
        let mut instance = TestInstance::new(settings(), 12);
        let first = attempted_server(&instance.receive(request(1, instance.now))).expect("an attempt begins");
        instance.balancer.allow_retries(allowed);
        let actions = instance.end_attempt(1, first, 0, Outcome::Rejected);
        assert_eq!((attempted_server(&actions).is_some(), is_rejected(&actions)), (allowed, !allowed));
    }
}
