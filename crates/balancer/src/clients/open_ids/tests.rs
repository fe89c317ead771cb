//! Tests of the ids of open requests, in one process and over several.

use super::*;

const SUCCESSOR: SiblingLink = SiblingLink::Successor(1);

#[test]
fn an_id_has_one_claim_until_it_is_released() {
    let ids = OpenIds::default();
    assert!(ids.claim(5).is_some());
    assert!(ids.claim(5).is_none(), "two open requests have the same id");
    ids.release(5);
    assert!(ids.claim(5).is_some());
    assert!(!ids.changes().is_any_recorded(), "changes are recorded although there are no siblings");
}

/// Guards against a request with the id of another client's request at the other process of a replacement.
#[test]
fn an_id_of_another_process_cannot_be_claimed_until_that_process_releases_it_or_ends() {
    let ids = OpenIds::default();
    ids.hold_for_sibling(5, SiblingLink::Predecessor);
    ids.hold_for_sibling(5, SiblingLink::Predecessor);
    ids.hold_for_sibling(6, SUCCESSOR);
    assert!(ids.claim(5).is_none() && ids.claim(6).is_none());
    ids.release_for_sibling(5, SUCCESSOR);
    assert!(ids.claim(5).is_none(), "a process has released an id that another one holds");
    ids.release_for_sibling(5, SiblingLink::Predecessor);
    assert!(ids.claim(5).is_some());
    ids.release_sibling(SUCCESSOR);
    assert!(ids.claim(6).is_some());
    ids.release(5);
    ids.release(6);
    assert!(ids.open().is_empty() && !ids.contains(5), "released ids use memory");
}

#[test]
fn a_transferred_connection_keeps_its_id_beside_a_claim_of_the_same_id() {
    let ids = OpenIds::default();
    ids.hold_for_sibling(5, SiblingLink::Predecessor);
    assert!(!ids.claim_transferred(5), "no other request of this process has the id");
    ids.release_for_sibling(5, SiblingLink::Predecessor);
    assert!(ids.claim_transferred(5));
    ids.release(5);
    assert!(ids.claim(5).is_none(), "the end of one request has released the id of the other");
    ids.release(5);
    assert!(ids.claim(5).is_some());
}

#[test]
fn changes_are_recorded_while_there_are_siblings_and_not_reflected_to_their_origin() {
    let ids = OpenIds::default();
    ids.changes().set_has_siblings(true);
    ids.claim(5);
    ids.hold_for_sibling(6, SUCCESSOR);
    assert!(ids.changes().is_any_recorded());
    assert_eq!(ids.changes().take().ids, [5, 6]);
    assert!(!ids.changes().is_any_recorded());
    let states = |link| [5, 6].map(|id| ids.state_apart_from(id, link));
    assert_eq!(states(SUCCESSOR), [IdState::Open, IdState::Free]);
    assert_eq!(states(SiblingLink::Predecessor), [IdState::Open, IdState::Open]);
    ids.release(5);
    assert_eq!((ids.changes().take().ids, ids.open()), (vec![5], vec![6]));
}

/// Guards against a request that runs again under the same id, and against ids that use ever more memory.
#[test]
fn the_id_of_a_request_that_must_not_run_again_stays_taken_until_many_others_have_ended() {
    let ids = OpenIds::default();
    assert!(ids.claim(5).is_some());
    ids.release_retained(5);
    assert!(ids.claim(5).is_none());
    assert!(ids.claim_restored(5).is_some(), "a connection from before the start could not come again");
    ids.release_retained(5);
    assert_eq!(
        ids.state_apart_from(5, SUCCESSOR),
        IdState::Retained,
        "the other process would accept the id"
    );
    assert_eq!(ids.holder(5), Some(IdHolder::EndedRequest));
    for id in 0..MAX_RETAINED_IDS as u64 {
        ids.claim_restored(100 + id);
        ids.release_retained(100 + id);
    }
    assert!(ids.claim(5).is_some());
    assert_eq!((ids.retained().len(), ids.open()), (MAX_RETAINED_IDS, vec![5]));
}

/// Guards against a moment at which nobody holds the id of a connection that another process has taken.
#[test]
fn an_id_stays_held_when_its_connection_goes_to_another_process() {
    let ids = OpenIds::default();
    assert!(ids.claim(5).is_some());
    ids.transfer_to_sibling(5, SUCCESSOR);
    assert!(ids.claim(5).is_none());
    assert_eq!(ids.holder(5), Some(IdHolder::Sibling(SUCCESSOR)));
    ids.release_for_sibling(5, SUCCESSOR);
    assert_eq!(ids.holder(5), None);
}

/// Guards against a request that is placed before the other process is known not to have its id.
#[test]
fn a_claim_is_confirmed_once_all_other_processes_know_it() {
    let ids = OpenIds::default();
    let alone = ids.claim(5).expect("free");
    assert!(ids.changes().is_confirmed(alone), "without siblings there is nobody to wait for");
    ids.changes().set_has_siblings(true);
    assert!(ids.changes().set_confirmed(ids.changes().count()));
    let number = ids.claim(6).expect("free");
    assert!(!ids.changes().is_confirmed(number));
    assert_eq!(ids.changes().take().last, number);
    assert!(ids.changes().set_confirmed(number) && !ids.changes().set_confirmed(number));
    assert!(ids.changes().is_confirmed(number));
    ids.hold_for_sibling(6, SUCCESSOR);
    assert!(!ids.is_predecessors(6), "the older process keeps an id that both have claimed");
    ids.hold_for_sibling(6, SiblingLink::Predecessor);
    assert!(ids.is_predecessors(6));
}

/// Guards against requests that each wait for a process that has stalled.
#[test]
fn nothing_waits_for_a_process_that_does_not_reply_until_it_replies_again() {
    let ids = OpenIds::default();
    ids.changes().set_has_siblings(true);
    ids.changes().set_confirmed(ids.changes().count());
    let first = ids.claim(5).expect("free");
    assert!(!ids.changes().is_confirmed(first));
    ids.changes().give_up_confirmation();
    let second = ids.claim(6).expect("free");
    assert!(ids.changes().is_confirmed(first) && ids.changes().is_confirmed(second));
    ids.changes().set_confirmed(first);
    assert!(ids.changes().is_confirmed(first) && !ids.changes().is_confirmed(second));
}
